package main

// incarnationMutations apply the state of one incarnation of a worker to the next one.
var incarnationMutations = []mutation{
	{
		name: "drain-outlives-its-life",
		file: "internal/workers/workers.go",
		old:  "\t\tdelete(d.drainingSince, worker.ID)\n\t\td.previous",
		new:  "\t\td.previous",
		pkg:  "./internal/router", test: "TestWorkerViewIsCorrectInAnyEventOrder",
	},
	{
		name: "what-was-learned-of-a-worker-outlives-its-life",
		file: "internal/proxy/backend.go",
		old:  "\treturn worker.StartTime != 0 && b.worker.StartTime != 0 && worker.StartTime != b.worker.StartTime",
		new:  "\treturn false",
		pkg:  "./internal/proxy", test: "TestRestartedWorkerStartsWithFreshState",
	},
	{
		name: "crash-missed-where-a-worker-is-back-at-once",
		file: "internal/proxy/fleet.go",
		old:  "\t\tif f.onIncarnationEnd != nil {",
		new:  "\t\tif false {",
		pkg:  "./internal/proxy", test: "TestImmediateRestartCountsAsCrash",
	},
	{
		name: "crashes-of-lives-counted-as-one",
		file: "internal/quarantine/record.go",
		old:  "workers.Incarnation{ID: c.Worker, StartTime: c.StartTime}",
		new:  "workers.Incarnation{ID: c.Worker}",
		pkg:  "./internal/quarantine", test: "TestCrashOfEachIncarnationCounts",
	},
	{
		name: "overwritten-entry-waited-for",
		file: "internal/workers/settling.go",
		old:  "StateReady || d.unreadable[id] {",
		new:  "StateReady {",
		pkg:  "./internal/router", test: "TestWorkerWithOverwrittenEntryIsNotUsed",
	},
	{
		name: "another-life-renewed-under-the-fence-of-before",
		file: "internal/owner/restart.go",
		old:  "\ts.granted = false\n\ts.fence = l.nextFence()\n",
		new:  "",
		pkg:  "./internal/owner", test: "TestEveryOrderOfEvents",
	},
	{
		name: "another-life-not-told-of-fences",
		file: "internal/owner/restart.go",
		old:  "\t\t\tgrant.acknowledged, grant.nextOrderAt = false, now",
		new:  "\t\t\t_ = grant",
		pkg:  "./internal/owner", test: "TestEveryOrderOfEvents",
	},
	{
		name: "answer-of-the-life-before-believed",
		file: "internal/owner/dispatch.go",
		old:  "\torder.targetRestarted = order.Target.StartTime != l.startTimes[order.Target.ID]",
		new:  "\torder.targetRestarted = false",
		pkg:  "./internal/owner", test: "TestEveryOrderOfEvents",
	},
	{
		name: "worker-that-was-not-reached-renewed-under-its-fence",
		file: "internal/owner/dispatch.go",
		old:  "\trestarted := s.maybeRestarted &&",
		new:  "\trestarted := false && s.maybeRestarted &&",
		pkg:  "./internal/owner", test: "TestUnreachableWorkerGetsHigherFence",
	},
	{
		name: "standby-renews-another-life",
		file: "internal/owner/standby.go",
		old:  "hold.Target.ID == incarnation.ID && hold.Target.StartTime != incarnation.StartTime &&",
		new:  "false &&",
		pkg:  "./internal/owner", test: "TestStandbyDoesNotRenewOtherIncarnation",
	},
}
