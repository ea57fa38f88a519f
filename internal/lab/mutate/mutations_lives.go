package main

// lifeMutations take what a life of a worker left behind for what the next one has.
var lifeMutations = []mutation{
	{
		name: "drain-outlives-its-life",
		file: "internal/workers/workers.go",
		old:  "\t\tdelete(d.drainingSince, worker.ID)\n\t\td.before",
		new:  "\t\td.before",
		pkg:  "./internal/router", test: "TestWorkerViewIsCorrectInAnyEventOrder",
	},
	{
		name: "what-was-learned-of-a-worker-outlives-its-life",
		file: "internal/proxy/backend.go",
		old:  "\treturn worker.Born != 0 && b.worker.Born != 0 && worker.Born != b.worker.Born",
		new:  "\treturn false",
		pkg:  "./internal/proxy", test: "TestRestartedWorkerStartsWithFreshState",
	},
	{
		name: "crash-missed-where-a-worker-is-back-at-once",
		file: "internal/proxy/fleet.go",
		old:  "\t\tif f.ended != nil {",
		new:  "\t\tif false {",
		pkg:  "./internal/proxy", test: "TestImmediateRestartCountsAsCrash",
	},
	{
		name: "crashes-of-lives-counted-as-one",
		file: "internal/quarantine/record.go",
		old:  "workers.Life{ID: c.Worker, Born: c.Born} }",
		new:  "workers.Life{ID: c.Worker} }",
		pkg:  "./internal/quarantine", test: "TestCrashOfEachIncarnationCounts",
	},
	{
		name: "overwritten-entry-waited-for",
		file: "internal/workers/kept.go",
		old:  "StateReady || d.unreadable[id] {",
		new:  "StateReady {",
		pkg:  "./internal/router", test: "TestWorkerWithOverwrittenEntryIsNotUsed",
	},
	{
		name: "another-life-renewed-under-the-fence-of-before",
		file: "internal/owner/life.go",
		old:  "\tone.granted = false\n\tone.fence = b.nextFence()\n",
		new:  "",
		pkg:  "./internal/owner", test: "TestEveryOrderOfEvents",
	},
	{
		name: "another-life-not-told-of-fences",
		file: "internal/owner/life.go",
		old:  "\t\t\tone.told, one.next = false, now",
		new:  "\t\t\t_ = one",
		pkg:  "./internal/owner", test: "TestEveryOrderOfEvents",
	},
	{
		name: "answer-of-the-life-before-believed",
		file: "internal/owner/dispatch.go",
		old:  "\torder.overtaken = order.Target.Incarnation != b.lives[order.Target.ID]",
		new:  "\torder.overtaken = false",
		pkg:  "./internal/owner", test: "TestEveryOrderOfEvents",
	},
	{
		name: "worker-that-was-not-reached-renewed-under-its-fence",
		file: "internal/owner/dispatch.go",
		old:  "\trestarted := one.unsure &&",
		new:  "\trestarted := false && one.unsure &&",
		pkg:  "./internal/owner", test: "TestAWorkerThatWasNotReachedGetsAHigherFence",
	},
	{
		name: "standby-renews-another-life",
		file: "internal/owner/standby.go",
		old:  "one.Target.ID == life.ID && one.Target.Incarnation != life.Born &&",
		new:  "false &&",
		pkg:  "./internal/owner", test: "TestAStandbyRenewsNothingOfAnotherLife",
	},
}
