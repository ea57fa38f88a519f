package main

// fairMutations let one tenant's flood fall on others, or starve somebody.
var fairMutations = []mutation{
	{
		name: "flood-does-not-yield",
		file: "internal/fair/ledger.go",
		old:  "	return max(known.refused, min(beyond, 1-leastServed))",
		new:  "	return 0 * beyond",
		pkg:  "./internal/fair", test: "TestAFloodLeavesOthersAlone",
	},
	{
		name: "flood-noticed-late",
		file: "internal/fair/ledger.go",
		old:  "excess(known.recent/recentScale, l.recent/recentScale, weight))",
		new:  "0*recentScale)",
		pkg:  "./internal/fair", test: "TestAFloodLeavesOthersAlone",
	},
	{
		name: "shares-know-no-weight",
		file: "internal/fair/shares.go",
		old:  "max(one.weight*level,",
		new:  "max(level,",
		pkg:  "./internal/fair", test: "TestShareGoesByWeight",
	},
	{
		name: "less-urgent-are-starved",
		file: "internal/fair/ledger.go",
		old:  "	leastServed = 0.4\n",
		new:  "	leastServed = 0.0\n",
		pkg:  "./internal/fair", test: "TestTheLessUrgentAreNotStarved",
	},
	{
		name: "shares-know-no-priority",
		file: "internal/fair/shares.go",
		old:  "append(classes[caller.Priority], known)",
		new:  "append(classes[0*caller.Priority], known)",
		pkg:  "./internal/fair", test: "TestUrgentRequestsAreServedFirst",
	},
	{
		name: "tenants-without-bound",
		file: "internal/fair/ledger.go",
		old:  "known == nil && len(l.lanes) < MaxCallers",
		new:  "known == nil",
		pkg:  "./internal/fair", test: "TestTenantsAreBounded",
	},
	{
		name: "owner-with-room-turns-back",
		file: "internal/proxy/fairness.go",
		old:  "	if !rejecting {",
		new:  "	if false && !rejecting {",
		pkg:  "./internal/proxy", test: "TestOwnerWithCapacityRefusesNoRequests",
	},
	{
		name: "yielding-request-waits-at-a-worker",
		file: "internal/proxy/pick.go",
		old:  "!ok || required.freeSlotOnly && !candidate.hasFreeSlot",
		new:  "!ok",
		pkg:  "./internal/proxy", test: "TestTenantBeyondItsShareUsesFreeWorkersOnly",
	},
}
