package decision

// Kind is the kind of a log line: the value of its field "kind".
type Kind string

// Kinds of log lines.
const (
	KindStart               Kind = "start"
	KindStop                Kind = "stop"
	KindReload              Kind = "reload"
	KindPortTaken           Kind = "port-taken"
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
	KindReachability        Kind = "reachability"
	KindStandby             Kind = "standby"
	KindKeysAssigned        Kind = "keys-assigned"
	KindZoneUnknown         Kind = "zone-unknown"
	KindKeysMoved           Kind = "keys-moved"
	KindOrderFailed         Kind = "order-failed"
	KindDelayedGrant        Kind = "delayed-grant"
	KindRecord              Kind = "record"
	KindTenantOverLimit     Kind = "tenant-over-limit"
	KindTenantOverShare     Kind = "tenant-over-share"
	KindQuotaReserveClaimed Kind = "quota-reserve-claimed"
	KindTenantsBusy         Kind = "tenants-busy"
	KindRequest             Kind = "request"
	KindResent              Kind = "request-sent-again"
	KindBodies              Kind = "bodies"
	KindConnectionsClosed   Kind = "connections-closed"
	KindLinesLeftOut        Kind = "lines-left-out"
)

// Description describes the log lines of a kind and their fields.
type Description struct {
	Kind    Kind
	Meaning string
	Fields  string
}

// Descriptions returns the descriptions of all kinds, in the order of docs/operations/logs.md,
// which a test generates from them.
func Descriptions() []Description {
	return []Description{
		{KindStart, "the process has opened its listeners", "zone, listen, store, descriptors (limit of the operating system), memory_mb (by the settings), connections (limit of clients' connections), unfinished (limit of the bytes of their unfinished requests)"},
		{KindStop, "the process has finished all requests and exits", ""},
		{KindReload, "the settings file was read again", "changed, rest_needs_restart (other settings changed, which take effect at a restart only); error if the file can't be used"},
		{KindPortTaken, "a port is in use; the process waits for it before it serves", "address, error"},
		{KindMetricsLost, "the metrics can't be served, or not yet, since their port is in use; requests are served", "address, error"},
		{KindSuspended, "the machine was suspended, or this platform has no clock that detects suspensions", "for (seconds), led (this process was the leader before)"},
		{KindReady, "the process reports itself as ready or not ready", "ready, reason"},
		{KindConfig, "a configuration has come into force in this process", "version, routes, revision (of the store); remarks (warnings for operators)"},
		{KindConfigRefused, "a configuration can't be read; the previous one stays in force", "revision, error"},
		{KindZonesEvacuated, "the list of evacuated zones, whose workers get no work, has changed", "zones (all of them), revision"},
		{KindWorker, "a worker announced itself, is draining or is gone; or it is kept although its entry vanished, since the entry may merely have expired", "worker, state, service, revision, for (maximum seconds for which it is kept); announced (number of workers in a newly read list)"},
		{KindEntryRefused, "an entry under the workers' prefix describes no usable worker, for example because another program has written it", "worker, reason, field, revision"},
		{KindZoneUnknown, "a worker is in a zone to which the settings assign no region: the zone is treated as a region of its own", "zone, worker (the first that was seen there)"},
		{KindWorkerHealth, "a worker gets no requests for a while after a failure, or gets them again", "worker, outcome, id (of the request that showed it), error"},
		{KindWorkerCrashed, "a worker ended while announced and not leaving: its address refuses connections, or another process answers there", "worker, service, requests (that this process had in progress there)"},
		{KindWorkerLimit, "a worker declares a limit of requests from all routers together, changes or ends it, or declares one that can't be read", "worker, limit (requests per second), ended, unreadable (the value that can't be read); seen_by (self: in a response, told: reported by another router)"},
		{KindWorkerLeaving, "a worker signals in a response that it is leaving, whatever the state in its entry", "worker, seen_by (self: in a response, told: reported by another router), for (seconds for which it is known to be leaving)"},
		{KindWorkerBackoff, "a worker that rejected a request asks this router to send it nothing for some time, or for a time that can't be read", "worker, id (of the attempt), for (seconds from now); unreadable (the value that can't be read)"},
		{KindHeaderUnread, "a worker's responses carry a header that no router interprets; it is only forwarded", "worker, header (its name)"},
		{KindRequestSuspected, "a request was in progress at a worker that crashed", "id (of the attempt), fingerprint (of method, host, path, query and body: the same in each attempt and for each caller), worker, route, caller"},
		{KindRequestQuarantined, "a request has crashed too many workers and is sent to none from now on, or its quarantine has ended", "id (of the last attempt that was in progress at a crash), fingerprint, route, caller; lifted (by an operator); error if the stored list can't be read"},
		{KindStoreLost, "the store does not answer", "for (the data that was followed), error"},
		{KindStoreRegained, "the store answers again", "for; for workers also away (seconds since it was lost) and waits (seconds for which workers with vanished entries are kept)"},
		{KindLeaderLost, "the connection to the leader broke", "leader, term, error"},
		{KindLeaderFound, "the owners were received from a leader, directly or through a relay", "leader, term, relay"},
		{KindRelayLost, "the connection to the relay broke, or the relay has had no leader for too long; the leader is asked for another relay", "relay, error"},
		{KindElected, "this process leads", "term, holds_until (when all earlier holds have certainly expired), unresolved (addresses of processes that did not answer and may renew earlier holds)"},
		{KindResigned, "this process no longer leads", "term"},
		{KindReachability, "this process has been cut off from nearly all workers, or reaches them again", "reached, dialed (workers to which connections were tried), connected (how many of them were reached)"},
		{KindStandby, "this process begins or ceases to renew holds that a lost leader granted", "renewing"},
		{KindKeysAssigned, "all keys of a service got their initial owners", "service, candidates"},
		{KindKeysMoved, "a move of keys was planned", "service, from, to (keys), old, worker (owners), forced, rate, old_load, load (requests per second after the move), capacity (of the new owner), change (version of the ownership record)"},
		{KindOrderFailed, "a worker did not carry out an order", "service, worker, release, from, to, fence, outcome"},
		{KindDelayedGrant, "the hold of the previous owner of keys has expired, but it left a grant unanswered that it may still accept", "service, worker, from, to, awaited (the keys wait for that), remaining (seconds until it can hold nothing)"},
		{KindRecord, "the stored owners were read, can't be read, or were written by another leader", "service, found, revision, term"},
		{KindTenantsBusy, "tenants that need more units than are allocatable to a tenant not marked as busy are marked in the store, and may get all that their limits allow", "tenants (number of new marks), cooled (number of marks removed), revision; error if the marks can't be read"},
		{KindQuotaReserveClaimed, "a new leader allocates the units that are reserved for new leaders, since the other units may still be held by routers", "term, leftover (unreported shares: the sum of the shares of limits that routers may hold without having reported them)"},
		{KindTenantOverLimit, "a tenant begins or ceases to request more than its limit allows; logged by the leader", "tenant, over, limit (requests within a window), dealt (how many of them may be granted to routers), used (of these, as routers last reported), booked (how many may be in use), withheld (how many a new leader must not grant yet), missing (how many routers requested and did not get), age (seconds, of the oldest report)"},
		{KindTenantOverShare, "workers lack capacity, and a tenant begins or ceases to be refused since it requests more than its share; logged by each router", "tenant, service, priority, over, refused (share of its requests), all (share of all requests for which there is no capacity)"},
		{KindRequest, "a request did not end as expected: it was refused, failed, was slow or was sent more than once, or its client disconnected (status 0)", "id, status, reason, service, route, took, sends, runs, unsent, config, worker, last, error; for callers with API keys tenant (also that of a revoked key), and gone_with (the configuration version that revoked the key); for keyed services key, term, table_age; for quarantined requests fingerprint"},
		{KindResent, "a request is sent again", "id, worker, outcome (of the previous send, or hedged), after"},
		{KindBodies, "the memory for large bodies is exhausted, or half of it is free again", "full, used, limit (bytes)"},
		{KindConnectionsClosed, "a connection was closed, since there are too many on its port, or since their unfinished messages take too much memory; the least useful ones are closed first", "port, reason (connections or bytes), connections (that are open), held (bytes of unfinished messages), total (connections closed for this reason)"},
		{KindLinesLeftOut, "lines over the rate limit were left out", "of, lines, dropped (lines dropped because the writer was busy, since the start)"},
	}
}
