package main

// fairMutations let a flood of one tenant's requests affect other tenants, or starve some requests.
var fairMutations = []mutation{
	{
		name: "flood-does-not-yield",
		file: "internal/fair/ledger.go",
		old:  "	return max(stats.refusedShare, min(overShare, 1-minServedRatio))",
		new:  "	return 0 * overShare",
		pkg:  "./internal/fair", test: "TestFloodDoesNotAffectOtherTenants",
	},
	{
		name: "flood-noticed-late",
		file: "internal/fair/ledger.go",
		old:  "excess(stats.recentRequests/recentScale, l.recentRequests/recentScale, weight))",
		new:  "0*recentScale)",
		pkg:  "./internal/fair", test: "TestFloodDoesNotAffectOtherTenants",
	},
	{
		name: "shares-know-no-weight",
		file: "internal/fair/shares.go",
		old:  "max(stats.weight*level,",
		new:  "max(level,",
		pkg:  "./internal/fair", test: "TestSharesFollowWeights",
	},
	{
		name: "less-urgent-are-starved",
		file: "internal/fair/ledger.go",
		old:  "	minServedRatio = 0.4\n",
		new:  "	minServedRatio = 0.0\n",
		pkg:  "./internal/fair", test: "TestLowPriorityIsNotStarved",
	},
	{
		name: "shares-know-no-priority",
		file: "internal/fair/shares.go",
		old:  "append(classes[caller.Priority], stats)",
		new:  "append(classes[0*caller.Priority], stats)",
		pkg:  "./internal/fair", test: "TestUrgentRequestsAreServedFirst",
	},
	{
		name: "tenants-without-bound",
		file: "internal/fair/ledger.go",
		old:  "stats == nil && len(l.callers) < MaxCallers",
		new:  "stats == nil",
		pkg:  "./internal/fair", test: "TestCallerCountIsBounded",
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
