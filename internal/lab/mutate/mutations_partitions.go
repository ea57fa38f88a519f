package main

// partitionMutations make processes that are cut off from the workers judge them, lead, or forward requests
// where they must not.
var partitionMutations = []mutation{
	{
		name: "requests-not-forwarded-while-cut-off",
		file: "internal/proxy/forward.go",
		old:  "\tif c.proxy.Helpers == nil {\n\t\treturn false",
		new:  "\tif true {\n\t\treturn false",
		pkg:  "./platform/session", test: "TestRoutersCutOffFromWorkersRefuseTheirClients",
	},
	{
		name: "forwarded-again-after-it-was-taken",
		file: "internal/proxy/forward.go",
		old:  "\tcase upstream.Broken:\n\t\tc.refuse(http.StatusBadGateway, reasonAnswerLost, 0)",
		new:  "\tcase upstream.Broken:\n\t\treturn false",
		pkg:  "./internal/proxy", test: "TestForwardedRequestIsForwardedOnce",
	},
	{
		name: "declined-requests-end",
		file: "internal/proxy/forward.go",
		old:  " || result.Header.Get(declinedHeader) != \"\"",
		new:  "",
		pkg:  "./internal/proxy", test: "TestForwardedRequestIsForwardedOnce",
	},
	{
		name: "forwarded-requests-forwarded-on",
		file: "internal/proxy/forward.go",
		old:  "\tif c.origin.forwarded {\n\t\tc.giveUp(",
		new:  "\tif false {\n\t\tc.giveUp(",
		pkg:  "./internal/proxy", test: "TestRoutersThatAreAllCutOffRefuseAtOnce",
	},
	{
		name: "counted-by-both-routers",
		file: "internal/proxy/handler.go",
		old:  "\tif !c.identify(active.keys) || c.forwardWhileCutOff() || !c.acquireQuota() {",
		new:  "\tif !c.identify(active.keys) || !c.acquireQuota() || c.forwardWhileCutOff() {",
		pkg:  "./internal/proxy", test: "TestForwardedRequestIsIdentifiedOnce",
	},
	{
		name: "key-passed-on-with-a-forwarded-request",
		file: "internal/proxy/forward.go",
		old:  ", StripIdentity: m.StripIdentity,",
		new:  ",",
		pkg:  "./internal/proxy", test: "TestForwardedRequestIsIdentifiedOnce",
	},
	{
		name: "worker-declines-for-its-router",
		file: "internal/proxy/answer.go",
		old:  "\theader.Del(declinedHeader)",
		new:  "\t_ = header",
		pkg:  "./internal/proxy", test: "TestWorkerCannotDeclineForwardedRequest",
	},
	{
		name: "leader-stays-while-cut-off",
		file: "internal/router/leadercontact.go",
		old:  "\t\tif r.reach.CutOff(now) && r.hub.AnyFollowerInContact(now) {",
		new:  "\t\tif r.reach.CutOff(now) && false {",
		pkg:  "./platform/session", test: "TestRoutersCutOffFromWorkersRefuseTheirClients",
	},
	{
		name: "refused-connection-shows-a-crash",
		file: "internal/proxy/crash.go",
		old:  "\t\tif p.ConfirmContact(bounded) {",
		new:  "\t\tif p.ConfirmContact(bounded) || true {",
		pkg:  "./internal/proxy", test: "TestRefusedConnectionShowsACrashOnlyInContact",
	},
	{
		name: "timeouts-count-while-cut-off",
		file: "internal/proxy/call.go",
		old:  "result.Outcome == upstream.TimedOut && othersAnswered:",
		new:  "result.Outcome == upstream.TimedOut:",
		pkg:  "./internal/proxy", test: "TestTimeoutCountsOnlyIfOthersAnswer",
	},
	{
		name: "few-reached-workers-are-contact",
		file: "internal/reachability/reachability.go",
		old:  "\treturn float64(answering) > maxCutOffShare*float64(answering+failing)",
		new:  "\treturn answering > 0",
		pkg:  "./internal/reachability", test: "TestOnlyFailuresOfMostWorkersShowAPartition",
	},
	{
		name: "half-healed-is-healed",
		file: "internal/reachability/reachability.go",
		old:  "float64(reached) < minReachedShare*float64(dialed):",
		new:  "reached == 0:",
		pkg:  "./internal/reachability", test: "TestEndOfPartitionIsNoticed",
	},
}
