package main

// harmMutations let requests that crash workers through, or take others for them.
var harmMutations = []mutation{
	{
		name: "harmful-request-never-quarantined",
		file: "internal/quarantine/record.go",
		old:  "	if !r.crashedOften() {",
		new:  "	if true {",
		pkg:  "./internal/quarantine", test: "TestBookTellsTheGuiltyFromTheRest",
	},
	{
		name: "good-run-clears-nothing",
		file: "internal/quarantine/book.go",
		old:  "	if b.Standing(run) == Unsuspected {",
		new:  "	if b.Standing(run) >= Unsuspected {",
		pkg:  "./internal/quarantine", test: "TestErrorsOfTheBook",
	},
	{
		name: "rack-counts-as-many-crashes",
		file: "internal/quarantine/record.go",
		old:  "r.moments() > 1 ||",
		new:  "r.moments() > 0 ||",
		pkg:  "./internal/quarantine", test: "TestBookTellsTheGuiltyFromTheRest",
	},
	{
		name: "moment-lasts-as-long-as-crashes-go-on",
		file: "internal/quarantine/record.go",
		old:  "			count++\n			began = end\n		}",
		new:  "			count++\n		}\n		began = end",
		pkg:  "./internal/quarantine", test: "TestBookTellsTheGuiltyFromTheRest",
	},
	{
		name: "callers-crashes-do-not-add-up",
		file: "internal/quarantine/book.go",
		old:  "	if b.blame(now, attempt, netip.Addr{}, crash) {",
		new:  "	if b.blame(now, attempt.own(), attempt.Caller, crash) {",
		pkg:  "./internal/quarantine", test: "TestBookAddsUpCallersUntilARunOfAnotherEndsWell",
	},
	{
		name: "leader-is-not-told-what-it-lacks",
		file: "internal/quarantine/view.go",
		old:  "		if !known.says(listed[request]) {",
		new:  "		if true || !known.says(listed[request]) {",
		pkg:  "./internal/quarantine", test: "TestALeaderThatDoesNotKnowAQuarantineTakesItFromNobody",
	},
	{
		name: "oldest-suspect-makes-room",
		file: "internal/quarantine/room.go",
		old:  "cmp.Or(cmp.Compare(a.ends, c.ends), cmp.Compare(c.crowd, a.crowd), a.last.Compare(c.last))",
		new:  "cmp.Or(a.last.Compare(c.last))",
		pkg:  "./internal/quarantine", test: "TestManySuspectsDoNotHideAHarmfulRequest",
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
		old:  "	if used == nil || p.Starting.Load() {",
		new:  "	if used == nil {",
		pkg:  "./internal/proxy", test: "TestStartingRouterSendsNothingBeforeQuarantineIsKnown",
	},
}

// clockMutations make a process miss that its machine was suspended.
var clockMutations = []mutation{
	{
		name: "lease-on-the-steady-clock",
		file: "internal/clock/steady.go",
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
