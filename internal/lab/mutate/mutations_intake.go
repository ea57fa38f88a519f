package main

// intakeMutations let peers make a process hold more than it may, or let a process end by itself.
var intakeMutations = []mutation{
	{
		name: "heads-of-any-length",
		file: "internal/intake/head.go",
		old:  "maxHeadBytes = 64 << 10",
		new:  "maxHeadBytes = 64 << 20",
		pkg:  "./internal/intake", test: "TestLongHeadIsTooLong",
	},
	{
		name: "heads-of-any-number-of-lines",
		file: "internal/intake/head.go",
		old:  "r.bytes >= maxHeadBytes || r.lines >= maxHeadLines",
		new:  "r.bytes >= maxHeadBytes",
		pkg:  "./internal/intake", test: "TestHeadOfShortLinesIsTooLong",
	},
	{
		name: "long-heads-without-memory",
		file: "internal/intake/head.go",
		old:  "\t\tif !r.memory.ReserveSmall(more) {",
		new:  "\t\tif r.memory.ReserveSmall(more); false {",
		pkg:  "./internal/upstream", test: "TestLongHeadsOfAllWorkersShareMemory",
	},
	{
		name: "memory-of-heads-not-returned",
		file: "internal/upstream/result.go",
		old:  "\t\tr.budget.Release(r.headMemory)\n",
		new:  "",
		pkg:  "./internal/upstream", test: "TestLongHeadsOfAllWorkersShareMemory",
	},
	{
		name: "heads-of-replies-of-any-length",
		file: "platform/orders.go",
		old:  "\t\tMaxResponseHeaderBytes: maxOrderHead,\n\t}\n\tfresh",
		new:  "\t}\n\tfresh",
		pkg:  "./platform", test: "TestEndlessHeadOfReplyToOrderIsNotBuffered",
	},
	{
		name: "long-replies-without-memory",
		file: "platform/orderconn.go",
		old:  "\t\tif !c.memory.ReserveSmall(more) {",
		new:  "\t\tif c.memory.ReserveSmall(more); false {",
		pkg:  "./platform", test: "TestLongRepliesOfAllWorkersShareMemory",
	},
	{
		name: "answers-of-the-store-of-any-length",
		file: "platform/store.go",
		old:  "io.LimitReader(response.Body, maxStoreBody+1)",
		new:  "response.Body",
		pkg:  "./platform", test: "TestEndlessAnswerOfStoreIsBounded",
	},
}
