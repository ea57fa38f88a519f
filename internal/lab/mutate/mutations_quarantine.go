package main

// quarantineMutations fail to quarantine requests that crash workers, or quarantine others.
var quarantineMutations = []mutation{
	{
		name: "suspects-run-side-by-side",
		file: "internal/quarantine/gate.go",
		old:  "taken && current.holder != holder {",
		new:  "taken && false {",
		pkg:  "./internal/proxy", test: "TestSuspectRunsOneAtATime",
	},
	{
		name: "permit-ends-before-a-crash-is-known",
		file: "internal/proxy/suspects.go",
		old:  "	if c.interrupted.Load() {",
		new:  "	if false {",
		pkg:  "./internal/proxy", test: "TestPermitIsHeldUntilACrashWouldBeKnown",
	},
	{
		name: "harmful-request-never-quarantined",
		file: "internal/quarantine/record.go",
		old:  "	if !r.reachedCrashThreshold() {",
		new:  "	if true {",
		pkg:  "./internal/quarantine", test: "TestHarmfulRequestIsDistinguished",
	},
	{
		name: "good-run-clears-nothing",
		file: "internal/quarantine/tracker.go",
		old:  "	if t.Standing(request) == Unsuspected {",
		new:  "	if t.Standing(request) >= Unsuspected {",
		pkg:  "./internal/quarantine", test: "TestNoFalsePositivesOrLateSends",
	},
	{
		name: "rack-counts-as-many-crashes",
		file: "internal/quarantine/record.go",
		old:  "r.crashClusters() > 1 ||",
		new:  "r.crashClusters() > 0 ||",
		pkg:  "./internal/quarantine", test: "TestHarmfulRequestIsDistinguished",
	},
	{
		name: "moment-lasts-as-long-as-crashes-go-on",
		file: "internal/quarantine/record.go",
		old:  "			count++\n			clusterStart = crashedAt\n		}",
		new:  "			count++\n		}\n		clusterStart = crashedAt",
		pkg:  "./internal/quarantine", test: "TestHarmfulRequestIsDistinguished",
	},
	{
		name: "callers-crashes-do-not-add-up",
		file: "internal/quarantine/tracker.go",
		old:  "	if t.countCrash(now, attempt, netip.Addr{}, crash) {",
		new:  "	if t.countCrash(now, attempt.perCaller(), attempt.Caller, crash) {",
		pkg:  "./internal/quarantine", test: "TestCrashesOfCallersAddUpUntilAnotherSucceeds",
	},
	{
		name: "leader-is-not-told-what-it-lacks",
		file: "internal/quarantine/view.go",
		old:  "		if !record.mustReport(leaderRecords[request]) {",
		new:  "		if true || !record.mustReport(leaderRecords[request]) {",
		pkg:  "./internal/quarantine", test: "TestLeaderWithoutQuarantineDoesNotRevokeIt",
	},
	{
		name: "oldest-suspect-makes-room",
		file: "internal/quarantine/evict.go",
		old:  "cmp.Or(cmp.Compare(a.crashes, b.crashes), cmp.Compare(b.concurrent, a.concurrent), a.lastCrashAt.Compare(b.lastCrashAt))",
		new:  "cmp.Or(a.lastCrashAt.Compare(b.lastCrashAt))",
		pkg:  "./internal/quarantine", test: "TestManySuspectsDoNotEvictHarmfulRequest",
	},
	{
		name: "suspect-sent-to-several",
		file: "internal/proxy/crash.go",
		old:  "	return c.initialStanding == quarantine.Unsuspected && c.closedConnections.Load() < maxClosedConnections",
		new:  "	return c.closedConnections.Load() < maxClosedConnections",
		pkg:  "./internal/proxy", test: "TestSuspectIsSentToOneWorkerOnly",
	},
	{
		name: "crash-goes-with-the-entry",
		file: "internal/proxy/crash.go",
		old:  "announced || !served {",
		new:  "true || announced {",
		pkg:  "./internal/proxy", test: "TestCrashClassificationAfterEntryChange",
	},
	{
		name: "leaving-worker-crashes",
		file: "internal/proxy/crash.go",
		old:  "	return announced && worker.State == workers.StateReady",
		new:  "	return announced && worker.State != workers.State(\"\")",
		pkg:  "./internal/proxy", test: "TestOnlyCrashesCreateSuspects",
	},
	{
		name: "starting-router-serves-without-the-list",
		file: "internal/proxy/handler.go",
		old:  "	if active == nil || p.Starting.Load() {",
		new:  "	if active == nil {",
		pkg:  "./internal/proxy", test: "TestStartingRouterSendsNothingBeforeQuarantineIsKnown",
	},
}

// clockMutations make a process ignore that its machine was suspended.
var clockMutations = []mutation{
	{
		name: "lease-on-the-steady-clock",
		file: "internal/clock/suspension.go",
		old:  "func Now() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }",
		new:  "func Now() time.Time { return time.Now() }",
		pkg:  "./internal/election", test: "TestSuspensionEndsAuthority",
	},
	{
		name: "order-from-before-a-suspension-sent",
		file: "internal/keeper/keeper.go",
		old:  "	if t.suspendedFor() > 0 {",
		new:  "	if t.suspendedFor() < 0 {",
		pkg:  "./internal/keeper", test: "TestOrderFromBeforeSuspensionIsNotSent",
	},
	{
		name: "suspended-router-relies-on-what-it-was-told",
		file: "internal/router/suspension.go",
		old:  "	r.updates.invalidate()\n	r.entries.requestResync()",
		new:  "	_ = r.updates",
		pkg:  "./internal/router", test: "TestResumedRouterResyncs",
	},
}
