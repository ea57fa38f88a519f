package main

// mutation breaks one rule by a change of one line.
type mutation struct {
	name string
	// file has the text old exactly once; new takes its place.
	file string
	old  string
	new  string
	// test of the package pkg fails then.
	pkg  string
	test string
}

// mutations break the rules of docs/PROOFS.md, in its order.
var mutations = []mutation{
	{
		name: "expiry-from-receipt",
		file: "internal/lease/renew.go",
		old:  "	refusal := h.take(now, request)",
		new:  "	request.Reading = now.Upper; refusal := h.take(now, request)",
		pkg:  "./internal/grant", test: "TestModelNeverHasTwoOwners",
	},
	{
		name: "no-wait-by-a-new-leader",
		file: "internal/grant/book.go",
		old:  "	return max(fromElection, held.ends[incarnation])",
		new:  "	return max(fromElection*0, held.ends[incarnation])",
		pkg:  "./internal/grant", test: "TestModelNeverHasTwoOwners",
	},
	{
		name: "leadership-not-checked",
		file: "internal/grant/renew.go",
		old:  "	if !leading || held.readingAt.Upper > now.Upper {",
		new:  "	if held.readingAt.Upper > now.Upper {",
		pkg:  "./internal/grant", test: "TestTraces/paused-leader",
	},
	{
		name: "vote-inside-the-promise",
		file: "internal/consensus/election.go",
		old:  "	if n.promiseHolds() {",
		new:  "	if false {",
		pkg:  "./internal/consensus", test: "TestVoteWithinPromiseIsRefused",
	},
	{
		name: "unassign-without-release-or-expiry",
		file: "internal/grant/proposals.go",
		old:  "	if !now.SurelyReached(b.endOf(held, assignment.OwnerIncarnation)) {",
		new:  "	if false {",
		pkg:  "./internal/grant", test: "TestModelNeverHasTwoOwners",
	},
	{
		name: "release-with-work-in-flight",
		file: "internal/lease/renew.go",
		old:  "		if releasing && h.inFlight[key] == 0 {",
		new:  "		if releasing {",
		pkg:  "./internal/lease", test: "TestTraces",
	},
	{
		name: "server-ignores-the-fence",
		file: "internal/lease/work.go",
		old:  "	case held.grant.Fence != fence:",
		new:  "	case false:",
		pkg:  "./ownership", test: "TestAdmitsOnlyTheExactGrant",
	},
	{
		name: "expiry-ignored-at-the-effect",
		file: "internal/lease/work.go",
		old:  "	if h.lapsed || ticket.lapses != h.lapses {",
		new:  "	if false {",
		pkg:  "./internal/lease", test: "TestTraces",
	},
	{
		name: "incarnation-not-random",
		file: "internal/controller/identity.go",
		old:  `fmt.Sprintf("%016x", c.random())`,
		new:  `fmt.Sprint(c.settings.Listen)`,
		pkg:  "./internal/controller", test: "TestAllMembersLost",
	},
	{
		name: "generation-without-proof",
		file: "internal/generation/generation.go",
		old:  "	return gone > voters/2",
		new:  "	return gone >= 0",
		pkg:  "./internal/generation", test: "TestEnded",
	},
	{
		name: "new-generation-does-not-wait",
		file: "internal/controller/times.go",
		old:  "	return t.lease + t.grant + 2*t.driftMargin",
		new:  "	return 0 * t.lease",
		pkg:  "./internal/controller", test: "TestOldLeaderStillReachesServers",
	},
	{
		name: "older-bundle-accepted",
		file: "internal/lease/renew.go",
		old:  "	if h.lowersVersion(*request.Slices) {",
		new:  "	if false {",
		pkg:  "./internal/lease", test: "TestTraces",
	},
	{
		name: "server-ignores-the-version",
		file: "internal/lease/work.go",
		old:  "	case held.grant.Bundle != version:",
		new:  "	case false:",
		pkg:  "./ownership", test: "TestAdmitsOnlyTheExactGrant",
	},
	{
		name: "retry-after-bytes-were-sent",
		file: "internal/retry/decide.go",
		old:  "			Again:    repeatable && replayable,",
		new:  "			Again:    replayable,",
		pkg:  "./internal/gateway", test: "TestMisbehaviourNeverRepeatsARequest",
	},
	{
		name: "not-run-after-bytes-were-sent",
		file: "internal/retry/decide.go",
		old:  "	return !a.BytesSent || a.ServerNotRun",
		new:  "	return true",
		pkg:  "./internal/gateway", test: "TestConnectionCutDuringTheBodyIsUnknown",
	},
	{
		name: "request-id-not-compared",
		file: "internal/gateway/send.go",
		old:  "	if response.Header.Get(wire.HeaderRequestID) != string(id) {",
		new:  "	if false {",
		pkg:  "./internal/gateway", test: "TestMisbehaviourNeverRepeatsARequest",
	},
	{
		name: "no-second-copy-in-the-ledger",
		file: "internal/ledgernode/owner.go",
		old:  "	if !n.copyOut(ctx, request.Grant.Fence, record) {",
		new:  "	if false {",
		pkg:  "./internal/gateway", test: "TestSecondCopyIsNeeded",
	},
	{
		name: "testimony-of-another-range",
		file: "internal/ledgernode/handlers.go",
		old:  "	id := takeoverID{within: asked.Range, fence: asked.Fence}",
		new:  "	id := takeoverID{fence: asked.Fence}",
		pkg:  "./internal/ledgernode", test: "TestTestimonyIsOfTheRangeAsked",
	},
	{
		name: "leaving-gateway-takes-copies",
		file: "internal/ledgernode/handlers.go",
		old:  "	if n.leaving || !n.book.Put(n.now(), request.Record) {",
		new:  "	if !n.book.Put(n.now(), request.Record) {",
		pkg:  "./internal/gateway", test: "TestGatewayThatIsNeededDoesNotLeave",
	},
	{
		name: "gateway-leaves-unrelieved",
		file: "internal/ledgernode/leave.go",
		old:  "	if !n.awaitRelief(ctx) {",
		new:  "	if n.awaitRelief(ctx); false {",
		pkg:  "./internal/gateway", test: "TestGatewayThatIsNeededDoesNotLeave",
	},
	{
		name: "another-run-unregisters",
		file: "internal/controller/unregister.go",
		old:  "	if !found || known.Incarnation != leaving.Incarnation {",
		new:  "	if !found {",
		pkg:  "./internal/controller", test: "TestGatewayUnregisters",
	},
	{
		name: "planned-stop-cuts",
		file: "internal/gateway/drain.go",
		old:  "	_ = server.Shutdown(context.Background())",
		new:  "	_ = context.Background; _ = server.Close()",
		pkg:  "./test/session", test: "TestGatewaysStopInTurn",
	},
	{
		name: "drain-does-not-wait",
		file: "ownership/drain.go",
		old:  "	return idle && (o.drainTold || !held), o.changed",
		new:  "	return idle || !held || true, o.changed",
		pkg:  "./ownership", test: "TestDrainWaitsForReleaseAndForWork",
	},
	{
		name: "table-stream-without-a-leader",
		file: "internal/controller/table_stream.go",
		old:  "(s.controller.hearsLeader() && s.write(s.heartbeat()) != nil)",
		new:  "s.write(s.heartbeat()) != nil",
		pkg:  "./test/session", test: "TestFailure/leader_cut_off_from_the_majority_only",
	},
}
