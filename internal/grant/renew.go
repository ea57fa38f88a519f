package grant

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/wire"
)

// Renewal is a request that the leader should send to a server.
type Renewal struct {
	Server  bundle.ServerName
	Address string
	Request wire.RenewRequest
}

// Due returns the renewals to send at now. leaderUntil is the end (Upper) of
// the leadership lease, read by the caller at now, which is after every reading that
// the renewals echo; if it has passed, only first contacts that extend nothing are returned.
//
// At most one request to a server is in flight; it counts as lost after a
// quarter of the grant's duration. Call Due at least every tenth of Duration.
func (b *Book) Due(now clock.Instant, leaderUntil time.Duration) []Renewal {
	b.noticePause(now)
	leading := !now.HolderExpired(leaderUntil)
	var renewals []Renewal
	for _, name := range b.names {
		held := b.leases[name]
		b.expireRequest(held, now)
		if !held.dueAt(now) || b.yieldsToKeyed(held, now) {
			continue
		}
		if request, send := b.request(held, now, leading); send {
			held.contact.inFlight = true
			held.contact.sentAt = now.Upper
			renewals = append(renewals, Renewal{Server: name, Address: held.server.Address, Request: request})
		}
	}
	return renewals
}

// expireRequest gives a request up that got no answer in time.
func (b *Book) expireRequest(held *lease, now clock.Instant) {
	timeout := b.timesOf(held).duration / timeoutFraction
	if held.contact.inFlight && now.Upper-held.contact.sentAt >= timeout {
		held.contact.inFlight = false
		held.contact.failed = true
		held.contact.nextAt = now.Upper
	}
}

// dueAt reports whether a request should go now.
func (l *lease) dueAt(now clock.Instant) bool {
	return !l.contact.inFlight && now.Upper >= l.contact.nextAt
}

// yieldsToKeyed reports whether a server of a pool waits with its first contact
// in this term. The first contacts are all due at the election, and those of
// keyed servers, whose grants end soonest, must not stand behind the others.
// The wait is a small part of a pool's grant, which outlasts an election.
func (b *Book) yieldsToKeyed(held *lease, now clock.Instant) bool {
	wait := b.config.PoolRenewEvery / poolContactFraction
	return held.pool && held.incarnation == "" && now.Upper < b.elected.Upper+wait
}

// request returns what to send: a first contact while there is no reading, else
// a renewal, which only a leader may send.
func (b *Book) request(held *lease, now clock.Instant, leading bool) (wire.RenewRequest, bool) {
	request := wire.RenewRequest{
		Cell:       b.config.Cell,
		Leader:     b.config.Leader,
		Generation: b.state.Generation,
		Term:       b.config.Term,
	}
	if held.incarnation == "" {
		return request, true
	}
	if !leading || held.readingAt.Upper > now.Upper {
		return wire.RenewRequest{}, false
	}
	request.Server = held.incarnation
	request.Reading = held.reading
	request.Duration = b.timesOf(held).duration
	request.Set = held.set
	if held.confirmed != held.set {
		grants := held.grants
		request.Slices = &grants
	}
	b.noteExtension(held, request.Duration)
	return request, true
}

// noteExtension records, before the renewal leaves, how long the server may
// hold because of it. The server took the reading before readingAt, so at
// readingAt + Duration, by the slowest of this machine's clocks and with the
// margin for the clocks' rates, the grants have ended on the server's clock.
// This holds whenever the renewal arrives, and however often.
func (b *Book) noteExtension(held *lease, duration time.Duration) {
	end := held.readingAt.Lower + duration + b.config.DriftMargin
	held.ends[held.incarnation] = max(held.ends[held.incarnation], end)
}

// Answered takes a server's answer, received at now.
//
// An answer may be late, or to a request that was given up. What it says is
// used as follows, which is safe in any order of answers:
//   - A release is final: the server never again runs under that fence.
//   - A reading was taken before it was received, so Reading + Duration is a
//     safe end whenever it is echoed. A lower reading never replaces the last.
//   - What the server holds, its load and its wish to drain are believed only
//     from an answer with no lower reading than the last one of that run.
//   - A run that another run has replaced is believed again only when the
//     other has not answered for one Duration.
func (b *Book) Answered(now clock.Instant, server bundle.ServerName, answer wire.RenewResponse) {
	b.noticePause(now)
	held, known := b.leases[server]
	if !known || answer.Server == "" {
		return
	}
	held.takeReleases(answer)
	if answer.Refused == wire.RefusedOtherCell || answer.Refused == wire.RefusedOlderLeader {
		held.fail(now)
		return
	}
	if held.former[answer.Server] && b.live(held, now) {
		return
	}
	if answer.Server != held.incarnation {
		held.startIncarnation(answer.Server)
	} else if answer.Reading < held.reading {
		return
	}
	held.takeReading(now, answer)
	held.takeConfirmation(answer, b.state.Generation, b.config.Term)
	held.schedule(now, b.timesOf(held).renewEvery)
}

// takeReleases notes the slices that the server gave up. A server also lists a
// fence that it was not asked for if it gave the fence up under a former
// leader, whose command to take the slice never committed.
func (l *lease) takeReleases(answer wire.RenewResponse) {
	for _, released := range answer.Released {
		for _, assignment := range l.owned {
			if grantOf(assignment) == released && assignment.OwnerIncarnation == answer.Server {
				l.released[released] = true
			}
		}
	}
}

// startIncarnation begins the lease of another run of the server.
func (l *lease) startIncarnation(incarnation wire.Incarnation) {
	if l.incarnation != "" {
		l.former[l.incarnation] = true
	}
	delete(l.former, incarnation)
	l.incarnation = incarnation
	l.reading = 0
	l.confirmed = 0
	l.load = wire.LoadReport{}
	l.refreshSet()
}

func (l *lease) takeReading(now clock.Instant, answer wire.RenewResponse) {
	l.reading = answer.Reading
	l.readingAt = now
	l.answeredAt = now
	l.takeLoad(answer.Load)
	l.drainAsked = answer.Draining
}

// takeLoad keeps the last rates when a report leaves them out.
func (l *lease) takeLoad(report wire.LoadReport) {
	if report.Partial {
		report.Slices = l.load.Slices
	}
	l.load = report
}

// takeConfirmation notes which of this term's sets the server holds. After any
// refusal the whole set is sent again.
func (l *lease) takeConfirmation(answer wire.RenewResponse, generation wire.Generation, term uint64) {
	ours := answer.Generation == generation && answer.Term == term
	if ours && answer.Refused == "" {
		l.confirmed = answer.Set
		return
	}
	l.confirmed = 0
}

// schedule sets when the next request is due. A set that the server does not
// hold yet goes at once, but only some times in a row.
func (l *lease) schedule(now clock.Instant, renewEvery time.Duration) {
	l.contact.inFlight = false
	l.contact.failed = false
	l.contact.nextAt = now.Upper + l.nextWait(renewEvery)
}

func (l *lease) nextWait(renewEvery time.Duration) time.Duration {
	if l.confirmed != l.set {
		l.contact.unconfirmed++
		if l.contact.unconfirmed > maxAtOnce {
			return retryAfter
		}
		return 0
	}
	l.contact.unconfirmed = 0
	if !l.awaitsRelease() {
		return renewEvery
	}
	wait := firstPoll << min(l.contact.polls, maxPollDoublings)
	l.contact.polls++
	return min(wait, renewEvery)
}

const (
	// maxAtOnce is how many answers in a row may fail to confirm the set
	// before the next request waits for retryAfter.
	maxAtOnce = 3
	// maxPollDoublings keeps the shift in nextWait small.
	maxPollDoublings = 10
)

// Failed takes the failure to reach a server.
func (b *Book) Failed(now clock.Instant, server bundle.ServerName) {
	b.noticePause(now)
	if held, known := b.leases[server]; known {
		held.fail(now)
	}
}

func (l *lease) fail(now clock.Instant) {
	l.contact.inFlight = false
	l.contact.failed = true
	l.contact.nextAt = now.Upper + retryAfter
}
