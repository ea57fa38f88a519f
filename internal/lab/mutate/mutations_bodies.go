package main

// bodyMutations make bodies of requests and responses be misinterpreted or use more memory than
// allowed.
var bodyMutations = []mutation{
	{
		name: "chunks-pass-the-limit",
		file: "internal/proxy/body.go",
		old:  "length < 0 && limit > 0 {",
		new:  "false && limit > 0 {",
		pkg:  "./internal/proxy", test: "TestBodyBeyondLimitIsRefused",
	},
	{
		name: "waits-of-the-router-count-against-callers",
		file: "internal/bodies/progress.go",
		old:  "	p.deadline = p.deadline.Add(now.Sub(p.lastWaitEnd))\n",
		new:  "",
		pkg:  "./internal/bodies", test: "TestTimeBetweenReadsAndWritesDoesNotCount",
	},
	{
		name: "partly-passed-on-body-sent-again",
		file: "internal/proxy/call.go",
		old:  "\tif c.message.BodyConsumed() {",
		new:  "\tif false {",
		pkg:  "./internal/proxy", test: "TestPartlyStreamedBodyIsNotResent",
	},
	{
		name: "early-answer-keeps-its-connection",
		file: "internal/upstream/write.go",
		old:  "\tanswer.Written = true\n\tif s.err == nil {\n\t\treturn\n\t}\n\tanswer.closesConn = true\n",
		new:  "\tanswer.Written = true\n\tif s.err == nil {\n\t\treturn\n\t}\n",
		pkg:  "./internal/upstream", test: "TestConnectionIsNotReusedAfterEarlyAnswer",
	},
	{
		name: "cut-body-gets-its-last-chunk",
		file: "internal/upstream/write.go",
		old:  "\tif truncated, err = e.copyRest(chunks, -1); err != nil {",
		new:  "\tif truncated, err = e.copyRest(chunks, -1); false {",
		pkg:  "./internal/upstream", test: "TestTruncatedRequestBodyIsNotSentAsComplete",
	},
	{
		name: "cut-body-waits-for-an-answer",
		file: "internal/upstream/write.go",
		old:  "\t\treturn true, errBodyTruncated\n",
		new:  "\t\treturn false, nil\n",
		pkg:  "./internal/upstream", test: "TestTruncatedRequestBodyIsNotSentAsComplete",
	},
	{
		name: "large-answer-judged-by-nothing",
		file: "internal/upstream/exchange.go",
		old:  "Outcome: e.classify(response)}",
		new:  "Outcome: Answered}",
		pkg:  "./internal/proxy", test: "TestLongAnswerWithoutSignatureIsRejected",
	},
	{
		name: "cut-answer-looks-whole",
		file: "internal/proxy/answer.go",
		old:  "\t\tc.abortConnection()\n",
		new:  "",
		pkg:  "./internal/proxy", test: "TestDownloadTruncatedLateIsTruncatedForCaller",
	},
	{
		name: "large-bodies-without-a-bound",
		file: "internal/bodies/memorybudget.go",
		old:  "\tif b.limit == 0 || float64(",
		new:  "\tif true || float64(",
		pkg:  "./internal/bodies", test: "TestMemoryBudgetIsNeverExceeded",
	},
	{
		name: "body-that-stands-still-goes-on",
		file: "internal/bodies/progress.go",
		old:  "\tif latest := now.Add(MaxStall); p.deadline.After(latest) {",
		new:  "\tif latest := now.Add(MaxStall); false {",
		pkg:  "./internal/bodies", test: "TestReaderFailsOnlyBelowMinimumProgress",
	},
	{
		name: "stop-cuts-answers-that-have-begun",
		file: "internal/proxy/answer.go",
		old:  "\tc.detach()\n",
		new:  "",
		pkg:  "./internal/proxy", test: "TestShutdownDoesNotInterruptDownload",
	},
}
