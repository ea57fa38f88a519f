package main

// mutation breaks one rule by a change of one place.
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

// mutations break the rules of docs/PROOFS.md.
var mutations = []mutation{
	{
		name: "former-owner-not-outwaited",
		file: "internal/owner/dispatch.go",
		old:  "\t\tif !b.ended[old.worker] && !b.outwaited(now, old) {",
		new:  "\t\tif false {",
		pkg:  "./internal/owner", test: "TestOneOwnerWhileWorkersAreCut",
	},
	{
		name: "standby-not-outwaited",
		file: "internal/owner/hold.go",
		old:  "\treturn renewed.IsZero() || now.After(",
		new:  "\treturn true || now.After(",
		pkg:  "./internal/owner", test: "TestEveryOrderOfEvents",
	},
	{
		name: "standby-does-not-stop",
		file: "internal/owner/standby.go",
		old:  "\tif term > s.term {",
		new:  "\tif false {",
		pkg:  "./internal/owner", test: "TestEveryOrderOfEvents",
	},
	{
		name: "standby-beyond-its-leave",
		file: "internal/owner/standby.go",
		old:  "len(s.holds) > 0 && !now.After(s.until)",
		new:  "len(s.holds) > 0",
		pkg:  "./internal/owner", test: "TestStandbyRenewsOnlyWhatItMay",
	},
	{
		name: "standby-goes-on-under-a-higher-fence",
		file: "internal/owner/standby.go",
		old:  "\tcase OutcomeFenced, OutcomeOther, OutcomeInvalid:",
		new:  "\tcase OutcomeOther, OutcomeInvalid:",
		pkg:  "./internal/owner", test: "TestStandbyRenewsOnlyWhatItMay",
	},
	{
		name: "late-write-takes-a-standby-off-the-record",
		file: "internal/election/renewers.go",
		old:  "{Key: t.renewersKey, Revision: t.renewersRevision},",
		new:  "",
		pkg:  "./internal/election", test: "TestAWriteThatIsDoneLateTakesNoStandbyOffTheRecord",
	},
	{
		name: "holds-of-the-leader-before-forgotten",
		file: "internal/owner/record.go",
		old:  "fence: kept.Fence, heldUntil: until, next: now}",
		new:  "fence: kept.Fence, heldUntil: now, next: now}",
		pkg:  "./internal/owner", test: "TestEveryOrderOfEvents",
	},
	{
		name: "fence-of-the-leader-before-used-again",
		file: "internal/owner/record.go",
		old:  "\tif len(one.formers) > 0 {\n\t\tone.fence = b.nextFence()",
		new:  "\tif false {\n\t\tone.fence = b.nextFence()",
		pkg:  "./internal/owner", test: "TestOneOwnerInAllTroubles",
	},
	{
		name: "outwaited-owner-not-told",
		file: "internal/owner/doubt.go",
		old:  "\tif b.ended[old.worker] || !now.Before(old.lateUntil) {",
		new:  "\tif true {",
		pkg:  "./internal/owner", test: "TestAnOutwaitedOwnerIsToldTheNewFence",
	},
	{
		name: "clock-slack-ignored",
		file: "internal/owner/owner.go",
		old:  "float64(c.Hold)*(1+c.ClockSlack)) + 100*time.Millisecond",
		new:  "float64(c.Hold))",
		pkg:  "./internal/owner", test: "TestEveryOrderOfEvents",
	},
	{
		name: "places-ignored",
		file: "internal/owner/plan.go",
		old:  "\t\tif place.Keys.overlaps(keys) && !place.allows(p.candidates[id].Zone) {",
		new:  "\t\tif place.Keys.overlaps(keys) && false {",
		pkg:  "./internal/owner", test: "TestKeysNeverLeaveTheirPlaces",
	},
	{
		name: "authority-counted-from-the-answer",
		file: "internal/election/election.go",
		old:  "\t\tif until := sent.Add(t.ttl - authorityMargin); until.After(t.until) {",
		new:  "\t\tif until := sent.Add(time.Hour); until.After(t.until) {",
		pkg:  "./internal/election", test: "TestAuthorityEndsBeforeTheLeaseInAnOutage",
	},
	{
		name: "grant-below-the-fence",
		file: "ownership/holder.go",
		old:  "\t\tif h.fences[key] > grant.Fence {",
		new:  "\t\tif false {",
		pkg:  "./ownership", test: "TestGrants",
	},
	{
		name: "release-with-work-in-flight",
		file: "ownership/holder.go",
		old:  "\t\tif !busy {",
		new:  "\t\tif !busy || true {",
		pkg:  "./ownership", test: "TestReleaseWaitsForWorkAndRaisesTheFence",
	},
	{
		name: "effect-kept-under-another-fence",
		file: "ownership/holder.go",
		old:  " && w.holder.fences[w.key] == w.fence",
		new:  "",
		pkg:  "./ownership", test: "TestEffectIsVoidOnceTheGrantIsOver",
	},
	{
		name: "sent-again-after-it-may-have-run",
		file: "internal/proxy/call.go",
		old:  "\treturn c.repeatable() && c.allowed",
		new:  "\treturn c.allowed",
		pkg:  "./internal/proxy", test: "TestUnsafeRequestIsSentOnceAfterItsFirstByte",
	},
	{
		name: "sends-under-way-not-counted",
		file: "internal/proxy/allowance.go",
		old:  "\treturn a.underWay+a.ran < a.attempts",
		new:  "\treturn a.ran < a.attempts",
		pkg:  "./internal/proxy", test: "TestNoOrderOfEndsRunsARequestTooOften",
	},
	{
		name: "second-copy-beyond-the-attempts",
		file: "internal/proxy/hedge.go",
		old:  "\tif !c.allowed.left() ||",
		new:  "\tif",
		pkg:  "./internal/proxy", test: "TestNoSecondCopyBeyondTheAttempts",
	},
	{
		name: "failed-copy-ends-the-other",
		file: "internal/proxy/hedge.go",
		old:  " && r.status < http.StatusInternalServerError\n",
		new:  " && r.status < http.StatusInternalServerError*2\n",
		pkg:  "./internal/proxy", test: "TestAFailedCopyLeavesTheOtherAtWork",
	},
	{
		name: "answer-of-another-request",
		file: "internal/proxy/exchange.go",
		old:  "\t\tif response.Header.Get(e.headers.RequestID) == e.message.id {",
		new:  "\t\tif true {",
		pkg:  "./internal/proxy", test: "TestSurplusAnswerIsReadPast",
	},
	{
		name: "success-without-a-signature",
		file: "internal/proxy/exchange.go",
		old:  "\tcase response.StatusCode/100 == 2 && response",
		new:  "\tcase false && response",
		pkg:  "./internal/proxy", test: "TestSuccessWithoutSignatureIsNotTheWorkers",
	},
	{
		name: "configuration-goes-back",
		file: "internal/proxy/handler.go",
		old:  "old.config.Version >= config.Version",
		new:  "old.config.Version == config.Version",
		pkg:  "./internal/proxy", test: "TestConfigurationNeverGoesBack",
	},
	{
		name: "planned-stop-cuts",
		file: "internal/router/serve.go",
		old:  "\t_ = server.Shutdown(bounded)",
		new:  "\t_ = bounded\n\t_ = server.Close()",
		pkg:  "./platform/session", test: "TestPlannedStopCutsNothing",
	},
	{
		name: "bundle-approved-by-its-proposer",
		file: "internal/registry/verify.go",
		old:  "\tcase entry.ProposedBy == entry.ApprovedBy:",
		new:  "\tcase false:",
		pkg:  "./internal/registry", test: "TestRolledVersionIsInForceForThoseWhoTrustItsOperators",
	},
	{
		name: "bundle-signature-not-verified",
		file: "internal/registry/verify.go",
		old:  "\tif err := bundle.Verify(signer.Key, purpose, used, signature); err != nil {",
		new:  "\tif err := bundle.Verify(signer.Key, purpose, used, signature); err != nil && false {",
		pkg:  "./internal/registry", test: "TestRolledVersionIsInForceForThoseWhoTrustItsOperators",
	},
	{
		name: "grant-before-its-record-is-stored",
		file: "internal/owner/dispatch.go",
		old:  "	if one.change > b.stored || b.ended[one.owner] {",
		new:  "	if b.ended[one.owner] {",
		pkg:  "./internal/keeper", test: "TestNoGrantGoesOutBeforeItsRecordIsStored",
	},
	{
		name: "lost-watch-not-noticed",
		file: "internal/coord/follow.go",
		old:  "context.WithTimeout(ctx, wait+watchSlack)",
		new:  "context.WithTimeout(ctx, wait+time.Hour)",
		pkg:  "./internal/coord", test: "TestFollowNoticesAWatchThatWasLostUnseen",
	},
	{
		name: "older-list-undoes-what-the-leader-told",
		file: "internal/router/workersview.go",
		old:  "	if at < v.at {",
		new:  "	if false {",
		pkg:  "./internal/router", test: "TestAnOlderListChangesNothing",
	},
	{
		name: "deaf-leader-relied-on",
		file: "internal/router/follow.go",
		old:  "	r.told.heard(time.Now(), !update.Deaf && !update.Stale())",
		new:  "	r.told.heard(time.Now(), !update.Stale())",
		pkg:  "./internal/router", test: "TestADeafLeaderIsNotReliedOn",
	},
	{
		name: "silent-relay-relied-on",
		file: "internal/router/told.go",
		old:  "int64(now.Sub(processBegan)) < t.until.Load()",
		new:  "t.until.Load() > 0",
		pkg:  "./internal/router", test: "TestWhatIsToldLapses",
	},
	{
		name: "stale-relay-relied-on",
		file: "internal/router/follow.go",
		old:  "	r.told.heard(time.Now(), !update.Deaf && !update.Stale())",
		new:  "	r.told.heard(time.Now(), !update.Deaf)",
		pkg:  "./internal/router", test: "TestAStaleRelayIsNotReliedOn",
	},
	{
		name: "older-word-of-another-relay-taken",
		file: "internal/keytable/keytable.go",
		old:  "	if change.Term < t.term || (change.Term == t.term && change.Version < t.versions[service]) {",
		new:  "	if change.Term < t.term {",
		pkg:  "./internal/keytable", test: "TestAnOlderWordOverAnotherWayChangesNothing",
	},
	{
		name: "relay-without-leader-followed-on",
		file: "internal/router/followleader.go",
		old:  "	return !(update.Leaderless && now.Sub(f.orphanSince) >= orphanPatience) &&",
		new:  "	return true &&",
		pkg:  "./internal/router", test: "TestARelayWithoutALeaderIsLeft",
	},
}
