package main

// harmMutations let requests that crash workers through, or take others for them.
var harmMutations = []mutation{
	{
		name: "harmful-request-never-quarantined",
		file: "internal/quarantine/book.go",
		old:  "	if known.HeldAt.IsZero() && known.crashedOften() && known.moments() > 1 {",
		new:  "	if false {",
		pkg:  "./internal/quarantine", test: "TestBookTellsTheGuiltyFromTheRest",
	},
	{
		name: "good-run-clears-nothing",
		file: "internal/quarantine/book.go",
		old:  "	delete(b.records, request)\n	b.version++\n	return true",
		new:  "	b.version++\n	return true",
		pkg:  "./internal/quarantine", test: "TestErrorsOfTheBook",
	},
	{
		name: "rack-counts-as-many-crashes",
		file: "internal/quarantine/book.go",
		old:  "known.moments() > 1 {",
		new:  "known.moments() > 0 {",
		pkg:  "./internal/quarantine", test: "TestBookTellsTheGuiltyFromTheRest",
	},
	{
		name: "suspect-sent-to-several",
		file: "internal/proxy/crash.go",
		old:  "	return c.arrivedAs == quarantine.Free && c.closed.Load() < mostClosed",
		new:  "	return c.closed.Load() < mostClosed",
		pkg:  "./internal/proxy", test: "TestASuspectGoesToOneWorkerOnly",
	},
	{
		name: "crash-goes-with-the-entry",
		file: "internal/proxy/crash.go",
		old:  "announced || !served {",
		new:  "true || announced {",
		pkg:  "./internal/proxy", test: "TestWhatEndedAfterItsEntryChanged",
	},
	{
		name: "leaving-worker-crashes",
		file: "internal/proxy/crash.go",
		old:  "	return announced && worker.State == workers.StateReady",
		new:  "	return announced && worker.State != workers.State(\"\")",
		pkg:  "./internal/proxy", test: "TestOnlyACrashMakesSuspects",
	},
	{
		name: "starting-router-serves-without-the-list",
		file: "internal/proxy/handler.go",
		old:  "	if used == nil || p.Starting.Load() {",
		new:  "	if used == nil {",
		pkg:  "./internal/proxy", test: "TestARouterThatStartsKnowsTheListFirst",
	},
}

// clockMutations make a process miss that its machine was suspended.
var clockMutations = []mutation{
	{
		name: "lease-on-the-steady-clock",
		file: "internal/clock/steady.go",
		old:  "func Now() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }",
		new:  "func Now() time.Time { return time.Now() }",
		pkg:  "./internal/election", test: "TestASuspendedLeadersAuthorityEnds",
	},
	{
		name: "order-from-before-a-suspension-sent",
		file: "internal/keeper/keeper.go",
		old:  "	if t.refreshed() > 0 {",
		new:  "	if t.refreshed() < 0 {",
		pkg:  "./internal/keeper", test: "TestAnOrderFromBeforeASuspensionIsNotSent",
	},
	{
		name: "suspended-router-relies-on-what-it-was-told",
		file: "internal/router/suspension.go",
		old:  "	r.told.end()\n	r.entries.again()",
		new:  "	_ = r.told",
		pkg:  "./internal/router", test: "TestASuspendedRouterReadsAnewWhenItWakes",
	},
}
