package main

// requestMutations let requests run twice or too often, or lose or mix up their responses.
var requestMutations = []mutation{
	{
		name: "sent-again-after-it-may-have-run",
		file: "internal/proxy/call.go",
		old:  "\treturn c.repeatable() && c.sends",
		new:  "\treturn c.sends",
		pkg:  "./internal/proxy", test: "TestUnsafeRequestIsNotResentAfterFirstByte",
	},
	{
		name: "sends-under-way-not-counted",
		file: "internal/proxy/sendtracker.go",
		old:  "\treturn t.inFlight+t.ran < t.maxRuns",
		new:  "\treturn t.ran < t.maxRuns",
		pkg:  "./internal/proxy", test: "TestSendLimitsHoldForAnyOrderOfResults",
	},
	{
		name: "second-copy-beyond-the-attempts",
		file: "internal/proxy/hedge.go",
		old:  "\tif !c.sends.maySend() ||",
		new:  "\tif",
		pkg:  "./internal/proxy", test: "TestNoHedgeBeyondMaxAttempts",
	},
	{
		name: "failed-copy-ends-the-other",
		file: "internal/proxy/hedge.go",
		old:  " && result.Status < http.StatusInternalServerError\n",
		new:  " && result.Status < http.StatusInternalServerError*2\n",
		pkg:  "./internal/proxy", test: "TestFailedCopyDoesNotCancelTheOther",
	},
	{
		name: "cold-worker-gets-any-number",
		file: "internal/proxy/coldlimiter.go",
		old:  "\treturn l.tokens >= 1",
		new:  "\treturn true",
		pkg:  "./internal/proxy", test: "TestColdWorkerRateHoldsOverAllProcesses",
	},
	{
		name: "written-to-a-connection-that-is-reset",
		file: "internal/upstream/exchange.go",
		old:  "\tif message.AtMostOnce && !connection.used &&",
		new:  "\tif false &&",
		pkg:  "./internal/proxy", test: "TestConnectionResetBeforeWriteMeansNotRun",
	},
	{
		name: "scarce-slack-used-by-all",
		file: "internal/proxy/budget.go",
		old:  "bool { return b.slack(nodes) < 1 }",
		new:  "bool { return false }",
		pkg:  "./internal/proxy", test: "TestSmallSlackHoldsWithManyProcesses",
	},
	{
		name: "slack-comes-back-beside-what-is-saved-up",
		file: "internal/proxy/budget.go",
		old:  "max(0, b.slack(nodes)-burst)",
		new:  "burst",
		pkg:  "./internal/proxy", test: "TestSmallSlackHoldsWithManyProcesses",
	},
	{
		name: "answer-of-another-request",
		file: "internal/upstream/exchange.go",
		old:  "\t\tif response.Header.Get(e.headers.RequestID) == e.message.ID {",
		new:  "\t\tif true {",
		pkg:  "./internal/proxy", test: "TestAnswerToAnotherRequestIsSkipped",
	},
	{
		name: "success-without-a-signature",
		file: "internal/upstream/exchange.go",
		old:  "\tcase response.StatusCode/100 == 2 && response",
		new:  "\tcase false && response",
		pkg:  "./internal/proxy", test: "TestUnsignedSuccessIsRejected",
	},
	{
		name: "planned-stop-cuts",
		file: "internal/router/serve.go",
		old:  "shutdowns.Go(func() { _ = server.Shutdown(bounded) })",
		new:  "shutdowns.Go(func() { _ = server.Close() })",
		pkg:  "./platform/session", test: "TestPlannedStopInterruptsNoRequests",
	},
	{
		name: "quarantined-request-waits-its-turn",
		file: "internal/quarantine/changelog.go",
		old:  "entry.version > upTo && entry.record.Standing() != Quarantined",
		new:  "entry.version > upTo",
		pkg:  "./internal/quarantine", test: "TestChangeLogSince",
	},
}
