package proxy

import (
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/quarantine"
)

// SuspectPermits lets one attempt of each suspected request run at a time, over all routers. It is safe
// for concurrent use.
type SuspectPermits interface {
	// Acquire requests that an attempt, named holder, may run for a time.
	Acquire(request quarantine.Fingerprint, holder string, run time.Duration) SuspectPermit
	// Release reports that the attempt has ended. It may have crashed its worker, which is known once
	// after has passed.
	Release(request quarantine.Fingerprint, holder string, after time.Duration)
}

// SuspectPermit is the answer to a request for a permit.
type SuspectPermit struct {
	Granted bool
	// Quarantined is set if the request must not run at all.
	Quarantined bool
	// Wait is the time after which to ask again if the permit is not granted.
	Wait time.Duration
}

const (
	// suspectWaitShare is the fraction of the target latency for which an attempt of a suspected
	// request waits while another one runs. One that succeeds clears the request for all.
	suspectWaitShare = 0.5
	// crashDetectionTime is the time within which the crash of a worker is known to the leader: a
	// connection attempt to its address, after a pause, and a report.
	crashDetectionTime = time.Second
)

// admitByStanding refuses the request if it is quarantined. If it is suspected, it waits until no other
// attempt of it runs. It returns false if it has ended the request.
func (c *call) admitByStanding() bool {
	waitLimit := c.began.Add(time.Duration(suspectWaitShare * float64(c.route.Target)))
	for {
		switch c.standing() {
		case quarantine.Quarantined:
			c.giveUpWithoutRetry(reasonQuarantined)
			return false
		case quarantine.Unsuspected:
			return true
		}
		if c.holdsSuspectPermit || c.proxy.SuspectPermits == nil {
			return true
		}
		permit := c.acquireSuspectPermit()
		switch {
		case permit.Quarantined:
			c.giveUpWithoutRetry(reasonQuarantined)
			return false
		case permit.Granted:
			continue // it may have been quarantined meanwhile
		case clock.Now().Add(permit.Wait).After(waitLimit) || c.timeLeft() <= permit.Wait+answerMargin:
			c.giveUp(reasonSuspected, c.jitteredRetryAfter())
			return false
		case !c.pause(permit.Wait):
			return false
		}
	}
}

// acquireSuspectPermit requests a permit, which is released at the end of the request.
func (c *call) acquireSuspectPermit() SuspectPermit {
	request := c.proxy.Suspects.SuspectedAs(c.callerRequest())
	holder := strconv.FormatUint(c.proxy.permitCount.Add(1), 10) // callers may use an ID twice
	permit := c.proxy.SuspectPermits.Acquire(request, holder, c.timeLeft())
	if permit.Granted {
		c.holdsSuspectPermit = true
		c.cleanups.add(func() { c.proxy.SuspectPermits.Release(request, holder, c.crashUncertainty()) })
	}
	return permit
}

// crashUncertainty returns for how long it is not known whether the request has crashed a worker.
func (c *call) crashUncertainty() time.Duration {
	if c.interrupted.Load() {
		return crashDetectionTime
	}
	return 0
}
