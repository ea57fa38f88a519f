package main

// limitMutations send workers more requests than the limits that they announce allow, or
// misinterpret these limits.
var limitMutations = []mutation{
	{
		name: "old-limit-relied-on",
		file: "internal/workerlimit/limiter.go",
		old:  "	l.pacer.Confirm(now, fact.Worker, current.At)\n",
		new:  "",
		pkg:  "./internal/workerlimit", test: "TestLimitLoweredWhileIdle",
	},
	{
		name: "early-answer-ends-a-limit",
		file: "internal/workerlimit/fact.go",
		old:  "	case !f.At.Equal(other.At):",
		new:  "	case f.Ended && !other.Ended:\n		return true\n	case !f.At.Equal(other.At):",
		pkg:  "./internal/workerlimit", test: "TestLimitEnd",
	},
	{
		name: "requests-are-saved-up-for-long",
		file: "internal/workerlimit/pacer.go",
		old:  "	maxBurstTime = time.Second",
		new:  "	maxBurstTime = 10 * time.Second",
		pkg:  "./internal/workerlimit", test: "TestGrantsKeepLimitInEveryWindow",
	},
	{
		name: "leader-in-doubt-deals-out-all",
		file: "internal/workerlimit/pacer.go",
		old:  "	if leadershipUncertain {",
		new:  "	if false {",
		pkg:  "./internal/workerlimit", test: "TestUncertainLeaderAndItsSuccessorKeepTheLimit",
	},
	{
		name: "limit-of-nothing-stops-all",
		file: "internal/workerlimit/pacer.go",
		old:  "	perSecond = max(perSecond, minRate)\n",
		new:  "	perSecond = max(perSecond, minRate/1e6)\n",
		pkg:  "./internal/workerlimit", test: "TestGrantsKeepLimitInEveryWindow",
	},
	{
		name: "leader-lets-all-through",
		file: "internal/workerlimit/limiter.go",
		old:  "	return Permit{Granted: granted, Wait: wait, Updated: updated}, true",
		new:  "	return Permit{Granted: true || granted, Wait: 0 * wait, Updated: updated}, true",
		pkg:  "./internal/workerlimit", test: "TestLimitHoldsAcrossFailures",
	},
	{
		name: "leader-is-not-told-of-limits",
		file: "internal/facts/replica.go",
		old:  "	if !r.leading {\n		r.pending",
		new:  "	if false {\n		r.pending",
		pkg:  "./internal/workerlimit", test: "TestAllRoutersReceiveLimitAndItsEnd",
	},
	{
		name: "keyed-request-asks-for-no-permit",
		file: "internal/proxy/keyed.go",
		old:  "	wait, ok := c.acquirePermit(to, c.maxLimitWait())\n	if !ok {",
		new:  "	wait, ok := c.acquirePermit(to, c.maxLimitWait())\n	if !ok && false {",
		pkg:  "./internal/proxy", test: "TestRequestsBeyondAllWorkerLimitsAreRefusedImmediately",
	},
	{
		name: "pooled-request-asks-for-no-permit",
		file: "internal/proxy/pooled.go",
		old:  "		if _, ok := c.acquirePermit(picked.backend, 0); ok {",
		new:  "		if _, ok := c.acquirePermit(picked.backend, 0); ok || true {",
		pkg:  "./internal/proxy", test: "TestRequestsBeyondAllWorkerLimitsAreRefusedImmediately",
	},
	{
		name: "second-copy-to-a-limited-worker",
		file: "internal/proxy/pooled.go",
		old:  "		required.forHedge = true\n",
		new:  "		required.forHedge = false\n",
		pkg:  "./internal/proxy", test: "TestLimitedWorkerReceivesNoHedge",
	},
	{
		name: "end-of-a-limit-counts-late",
		file: "internal/proxy/notices.go",
		old:  "(now.Before(to.limitedUntil()) && p.isLimited(to))",
		new:  "now.Before(to.limitedUntil())",
		pkg:  "./internal/proxy", test: "TestRemovedLimitTakesEffectImmediately",
	},
	{
		name: "routers-do-not-read-limits",
		file: "internal/upstream/notice.go",
		old:  "parseLimit(response.Header.Values(h.Limit))",
		new:  "parseLimit(nil)",
		pkg:  "./platform/session", test: "TestWorkerLimitHoldsAcrossAllRouters",
	},
}
