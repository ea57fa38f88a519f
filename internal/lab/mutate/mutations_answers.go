package main

// answerMutations let something that is no complete answer pass for one, lose one that is, or break off
// requests in a planned stop.
var answerMutations = []mutation{
	{
		name: "answer-unread-after-failed-write",
		file: "internal/upstream/write.go",
		old:  "s.err == nil || s.large && s.anyWritten && !s.truncated",
		new:  "s.err == nil",
		pkg:  "./internal/upstream", test: "TestAnswerIsReadAfterWriteFailed",
	},
	{
		name: "reset-taken-for-end",
		file: "internal/upstream/exchange.go",
		old:  "errors.Is(err, io.EOF) && b.exchange.resetDuringWrite()",
		new:  "false",
		pkg:  "./internal/upstream", test: "TestAnswerResetBesideUploadIsNotComplete",
	},
	{
		name: "end-taken-for-reset",
		file: "internal/upstream/write.go",
		old:  "w.reset = w.reset || errors.Is(err, syscall.ECONNRESET)",
		new:  "w.reset = w.reset || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)",
		pkg:  "./internal/upstream", test: "TestAnswerEndedBesideUploadIsComplete",
	},
	{
		name: "stream-cut-by-own-interruption",
		file: "internal/upstream/write.go",
		old:  "case s.err == nil, s.interrupted.Load():",
		new:  "case s.err == nil:",
		pkg:  "./internal/upstream", test: "TestAnswerStreamedLongAfterUploadWasEndedIsComplete",
	},
	{
		name: "received-answer-read-in-a-hurry",
		file: "internal/upstream/write.go",
		old:  "case to.closed:",
		new:  "case false:",
		pkg:  "./internal/upstream", test: "TestAnswerReceivedBeforeResetIsReadLater",
	},
	{
		name: "status-of-any-number",
		file: "internal/responses/responses.go",
		old:  "return code >= http.StatusContinue && code < 600 && code != http.StatusSwitchingProtocols",
		new:  "return code >= 0",
		pkg:  "./internal/proxy", test: "TestInvalidAnswerDoesNotReachCaller",
	},
	{
		name: "names-with-blanks",
		file: "internal/responses/responses.go",
		old:  "if !isToken(name) {",
		new:  "if name == \"\" {",
		pkg:  "./internal/proxy", test: "TestInvalidAnswerDoesNotReachCaller",
	},
	{
		name: "trailers-unchecked",
		file: "internal/responses/responses.go",
		old:  "invalid := checkNames(b.response.Trailer)",
		new:  "invalid := checkNames(nil)",
		pkg:  "./internal/proxy", test: "TestInvalidAnswerDoesNotReachCaller",
	},
	{
		name: "late-requests-are-sent",
		file: "internal/router/serve.go",
		old:  "	r.proxy.LimitRequests(answerBy)\n",
		new:  "",
		pkg:  "./platform/session", test: "TestRequestsLateInGracePeriodAreNotBrokenOff",
	},
	{
		name: "body-read-to-the-end-of-a-stop",
		file: "internal/proxy/shutdown.go",
		old:  "if !body.released && !c.endsInTime() {",
		new:  "if false {",
		pkg:  "./internal/proxy", test: "TestRequestThatMayOutlastStopIsRefused",
	},
	{
		name: "body-in-transfer-interrupted-by-a-stop",
		file: "internal/proxy/shutdown.go",
		old:  "\tb.released = true\n",
		new:  "",
		pkg:  "./internal/proxy", test: "TestBodyInTransferIsNotInterruptedByLimit",
	},
	{
		name: "empty-answer-to-an-interrupted-client",
		file: "internal/proxy/call.go",
		old:  "		c.abortConnection() // net/http",
		new:  "		return // net/http",
		pkg:  "./internal/proxy", test: "TestInterruptedClientGetsNoEmptyAnswer",
	},
	{
		name: "framing-as-net-http-leaves-it",
		file: "internal/upstream/exchange.go",
		old:  "responses.CheckFraming(head, e.conn.heads.Raw())",
		new:  "responses.CheckFraming(head, nil)",
		pkg:  "./internal/proxy", test: "TestInvalidAnswerDoesNotReachCaller",
	},
	{
		name: "own-interruption-taken-for-a-client-that-is-gone",
		file: "internal/proxy/body.go",
		old:  "\t\t\tc.bodyInterrupted.Store(true)\n",
		new:  "",
		pkg:  "./internal/proxy", test: "TestLongAnswerBesideUploadReachesCaller",
	},
}
