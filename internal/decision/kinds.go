package decision

// Kind names what a line tells.
type Kind string

// Kinds of lines.
const (
	KindStart               Kind = "start"
	KindStop                Kind = "stop"
	KindReload              Kind = "reload"
	KindMetricsLost         Kind = "metrics-lost"
	KindSuspended           Kind = "suspended"
	KindReady               Kind = "ready"
	KindConfig              Kind = "config"
	KindConfigRefused       Kind = "config-refused"
	KindZonesEvacuated      Kind = "zones-evacuated"
	KindWorker              Kind = "worker"
	KindEntryRefused        Kind = "entry-refused"
	KindWorkerHealth        Kind = "worker-health"
	KindWorkerCrashed       Kind = "worker-crashed"
	KindWorkerLimit         Kind = "worker-limit"
	KindWorkerLeaving       Kind = "worker-leaving"
	KindWorkerBackoff       Kind = "worker-backoff"
	KindHeaderUnread        Kind = "header-unread"
	KindRequestSuspected    Kind = "request-suspected"
	KindRequestQuarantined  Kind = "request-quarantined"
	KindStoreLost           Kind = "store-lost"
	KindStoreRegained       Kind = "store-regained"
	KindLeaderLost          Kind = "leader-lost"
	KindLeaderFound         Kind = "leader-found"
	KindRelayLost           Kind = "relay-lost"
	KindElected             Kind = "elected"
	KindResigned            Kind = "resigned"
	KindStandby             Kind = "standby"
	KindKeysAssigned        Kind = "keys-assigned"
	KindZoneUnknown         Kind = "zone-unknown"
	KindKeysMoved           Kind = "keys-moved"
	KindOrderFailed         Kind = "order-failed"
	KindRecord              Kind = "record"
	KindTenantOverLimit     Kind = "tenant-over-limit"
	KindTenantOverShare     Kind = "tenant-over-share"
	KindQuotaReserveClaimed Kind = "quota-reserve-claimed"
	KindTenantsBusy         Kind = "tenants-busy"
	KindRequest             Kind = "request"
	KindResent              Kind = "request-sent-again"
	KindBodies              Kind = "bodies"
	KindLinesLeftOut        Kind = "lines-left-out"
)

// Description says what lines of a kind tell, and by which fields.
type Description struct {
	Kind    Kind
	Meaning string
	Fields  string
}

// Descriptions are all kinds, in the order of docs/operations/logs.md, which a
// test makes from them.
func Descriptions() []Description {
	return []Description{
		{KindStart, "the process has opened its addresses", "zone, listen, store"},
		{KindStop, "the process has finished all requests and ends", ""},
		{KindReload, "the settings file was read again", "changed, rest_needs_restart; error where it can't be used"},
		{KindMetricsLost, "the metrics can't be served; requests are", "address, error"},
		{KindSuspended, "the machine was suspended, or no clock tells that here", "for (seconds), led (this process led before)"},
		{KindReady, "the process calls itself ready or not", "ready, reason"},
		{KindConfig, "a configuration is in force here", "version, routes, revision (of the store); remarks (what operators should know of it)"},
		{KindConfigRefused, "a configuration can't be read; the one before stays", "revision, error"},
		{KindZonesEvacuated, "which zones' workers are to get no work has changed", "zones (all of them), revision"},
		{KindWorker, "a worker announced itself, drains or is gone; or it is kept although its entry went, which may have lapsed only", "worker, state, service, revision, for (seconds that it is kept at most); announced: how many a new list has"},
		{KindEntryRefused, "an entry among the workers' names no worker to use, since somebody else has written it", "worker, reason, field, revision"},
		{KindZoneUnknown, "a worker stands in a zone whose region the settings do not tell: the zone is taken for a region of its own", "zone, worker (the first that was seen there)"},
		{KindWorkerHealth, "a worker is left alone after a failure, or is used again", "worker, outcome, id (the request that showed it), error"},
		{KindWorkerCrashed, "a worker ended although it was announced and did not leave: its address refuses connections, or another process answers there", "worker, service, requests (under way there from this process)"},
		{KindWorkerLimit, "a worker names a limit of requests from all routers together, another one, none any longer, or one that can't be read", "worker, limit (requests a second), ended, unreadable (what it named); seen_by (self: in an answer, told: by another router)"},
		{KindWorkerLeaving, "a worker says in an answer that it leaves, whatever its entry says", "worker, seen_by (self: in an answer, told: by another router), for (seconds since it is known to leave)"},
		{KindWorkerBackoff, "a worker that turned a request away asks this router to send nothing for a time, or for one that can't be read", "worker, id (of the attempt), for (seconds from now); unreadable (what it asked for)"},
		{KindHeaderUnread, "a worker's answers carry a header that no router reads, and that is only passed on", "worker, header (its name)"},
		{KindRequestSuspected, "a request was under way at a worker that crashed", "id (of the attempt), fingerprint (of method, host, path, query and body: the same in each attempt, whoever asks), worker, route, caller"},
		{KindRequestQuarantined, "a request has crashed too many workers and is sent to none from here on, or that has ended", "id (of the last attempt that was under way at a crash), fingerprint, route, caller; lifted (by an operator); error where the stored list can't be read"},
		{KindStoreLost, "the store does not answer", "for (what was followed), error"},
		{KindStoreRegained, "it answers again", "for; for workers also away: seconds since it was lost, and waits: seconds for which vanished entries are waited for"},
		{KindLeaderLost, "the link to the leader broke", "leader, term, error"},
		{KindLeaderFound, "a leader has told its owners, itself or through a relay", "leader, term, relay"},
		{KindRelayLost, "the link to the relay broke, or it has had no leader for too long; the leader is asked for another", "relay, error"},
		{KindElected, "this process leads", "term, holds_until (when all earlier holds have surely ended)"},
		{KindResigned, "this process leads no longer", "term"},
		{KindStandby, "this process begins or ends to renew what a lost leader gave", "renewing"},
		{KindKeysAssigned, "all keys got their first owners", "service, candidates"},
		{KindKeysMoved, "a move of keys was planned", "service, from, to (keys), old, worker (owners), forced, rate, old_load, load (requests a second after it), capacity (of the new owner), change (of the book)"},
		{KindOrderFailed, "a worker did not do an order as asked", "service, worker, release, from, to, fence, outcome"},
		{KindRecord, "the stored owners were read, can't be read, or were written by another leader", "service, found, revision, term"},
		{KindTenantsBusy, "tenants that ask for more than is dealt of a calm one are marked in the store, and get all that their limits allow", "tenants (how many more), cooled (how many are marked no longer), revision; error where the marks can't be read"},
		{KindQuotaReserveClaimed, "a leader that began lately deals the units that are kept for that, since others may hold the rest", "term, leftover (the shares of limits that it does not know to be held, added up)"},
		{KindTenantOverLimit, "a tenant asks for more than its limit allows, or does so no longer; told by the leader", "tenant, over, limit (requests within a window), dealt (how many of them routers get at most), used (of it, as routers told last), booked (what may be in use at most), withheld (what a new leader must not give yet), missing (what routers asked for in vain), age (seconds, of the oldest message)"},
		{KindTenantOverShare, "workers are short, and a tenant is refused since it asks for more than its share, or is so no longer; told by each router", "tenant, service, priority, over, refused (share of its requests), all (share of all requests that there is no room for)"},
		{KindRequest, "a request ended otherwise than planned: refused, failed, late, sent more than once, or its client left (status 0)", "id, status, reason, service, route, took, sends, runs, unsent, config, worker, last, error; for callers with API keys tenant (also that of a key that was taken away), and gone_with (the version that took the key away); for keyed ones key, term, table_age; for quarantined ones fingerprint"},
		{KindResent, "a request goes out once more", "id, worker, outcome (of the send before, or hedged), after"},
		{KindBodies, "large bodies find no memory, or half of it is free again", "full, used, limit (bytes)"},
		{KindLinesLeftOut, "lines over the budget were left out", "of, lines, dropped (lines that found the writer busy, since the start)"},
	}
}
