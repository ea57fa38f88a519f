package demo

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// fault is a kind of fault.
type fault string

// Kinds of faults.
const (
	faultKillServer    fault = "kill a server"
	faultKillOwner     fault = "kill the hottest key's owner"
	faultPauseServer   fault = "pause a server"
	faultPauseOwner    fault = "pause the hottest key's owner"
	faultFreezeServer  fault = "freeze a server by its control"
	faultStopServer    fault = "stop a server by SIGTERM"
	faultKillGateway   fault = "kill a gateway"
	faultPauseGateway  fault = "pause a gateway"
	faultStopGateway   fault = "stop a gateway by SIGTERM"
	faultKillControl   fault = "kill a controller"
	faultPauseControl  fault = "pause a controller"
	faultStopControl   fault = "stop a controller by SIGTERM"
	faultKillLeader    fault = "kill the leading controller"
	faultPauseLeader   fault = "pause the leading controller"
	faultKillMajority  fault = "kill two members of the control group"
	faultPauseMajority fault = "pause two members of the control group"
	faultOutage        fault = "cut the platform's service"
	faultSlow          fault = "slow the platform's service"
	faultLoseAnswers   fault = "lose answers of the platform's service"
	faultMachineLag    fault = "make the machine list lag"
	faultRoll          fault = "roll a bundle"
	faultRace          fault = "two operators propose at once"
)

// allFaults is what is drawn from; one that stands twice is twice as likely.
var allFaults = []fault{
	faultKillServer, faultKillOwner, faultPauseServer, faultPauseOwner, faultFreezeServer, faultStopServer,
	faultKillGateway, faultPauseGateway, faultStopGateway,
	faultKillControl, faultPauseControl, faultStopControl, faultKillLeader, faultPauseLeader,
	faultKillMajority, faultPauseMajority,
	faultOutage, faultSlow, faultLoseAnswers, faultMachineLag,
	faultRoll, faultRoll, faultRace,
}

// Bounds of what is drawn.
const (
	shortestFault = 200 * time.Millisecond
	longestFault  = 5 * time.Second
	shortestGap   = 1500 * time.Millisecond
	longestGap    = 6 * time.Second
	// spreadOfWave is how far apart the faults of one wave begin at most.
	spreadOfWave   = 400 * time.Millisecond
	mostAtOnce     = 3
	firstWaveAfter = 2 * time.Second
	// calmAfterSoak is how long the callers go on after the last fault began.
	calmAfterSoak = 16 * time.Second
)

// plannedFault is one fault of a schedule.
type plannedFault struct {
	// At is the time since the callers began.
	At    time.Duration
	Fault fault
	// Choice picks among the processes or variants that the fault can hit.
	Choice int
	// For is how long the fault lasts; a killed process is replaced then.
	For time.Duration
}

func (s plannedFault) String() string {
	return fmt.Sprintf("%s (%d) for %s", s.Fault, s.Choice, s.For)
}

// drawSchedule draws waves of one to three faults until end. It depends on its
// arguments only.
func drawSchedule(seed uint64, end time.Duration) []plannedFault {
	random := rand.New(rand.NewPCG(seed, seed))
	var schedule []plannedFault
	for at := firstWaveAfter; at < end; at += drawBetween(random, shortestGap, longestGap) {
		for range 1 + random.IntN(mostAtOnce) {
			schedule = append(schedule, plannedFault{
				At:     at + drawBetween(random, 0, spreadOfWave),
				Fault:  allFaults[random.IntN(len(allFaults))],
				Choice: random.IntN(1 << 16),
				For:    drawBetween(random, shortestFault, longestFault),
			})
		}
	}
	return schedule
}

// drawBetween draws in whole milliseconds.
func drawBetween(random *rand.Rand, low, high time.Duration) time.Duration {
	milliseconds := random.Int64N((high - low).Milliseconds() + 1)
	return low + time.Duration(milliseconds)*time.Millisecond
}
