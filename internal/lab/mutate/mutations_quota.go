package main

// quotaMutations let more requests of a tenant run than its limit allows.
var quotaMutations = []mutation{
	{
		name: "new-leader-gives-at-once",
		file: "internal/quota/reserve.go",
		old:  "	return min(p.dealt, p.reported)\n",
		new:  "	return p.limit",
		pkg:  "./internal/quota", test: "TestNoWindowHoldsMoreThanTheLimit",
	},
	{
		name: "lowered-credit-freed-unacknowledged",
		file: "internal/quota/hear.go",
		old:  "		if h.number > told.Ack {",
		new:  "		if false {",
		pkg:  "./internal/quota", test: "TestNoWindowHoldsMoreThanTheLimit",
	},
	{
		name: "units-of-a-restarted-router-do-not-rest",
		file: "internal/quota/coordinator.go",
		old:  "		c.end(now.Add(c.bound.rest()), name, h.booked, 0)",
		new:  "",
		pkg:  "./internal/quota", test: "TestNoWindowHoldsMoreThanTheLimit",
	},
	{
		name: "units-in-use-beyond-a-lowered-credit-freed",
		file: "internal/quota/hear.go",
		old:  "	c.end(now.Add(c.bound.rest()), name, h.used-h.units, 0)",
		new:  "",
		pkg:  "./internal/quota", test: "TestNoWindowHoldsMoreThanTheLimit",
	},
	{
		name: "credit-kept-under-a-lower-limit",
		file: "internal/quota/holder.go",
		old:  "		units = units * a.limit / limit",
		new:  "		_ = limit",
		pkg:  "./internal/quota", test: "TestNoWindowHoldsMoreThanTheLimit",
	},
	{
		name: "credit-outlasts-its-lease",
		file: "internal/quota/holder.go",
		old:  "	case at >= h.lease:",
		new:  "	case false:",
		pkg:  "./internal/quota", test: "TestACreditEndsWithItsLease",
	},
	{
		name: "leader-without-authority-gives",
		file: "internal/quota/coordinator.go",
		old:  "	if !sure {",
		new:  "	if false {",
		pkg:  "./internal/quota", test: "TestNoWindowHoldsMoreThanTheLimit",
	},
	{
		name: "renewed-lease-brings-back-units",
		file: "internal/quota/tell.go",
		old:  "		a.given = Credit{credit, min(a.given.limit(), a.limit), min(credit, a.given.floor())}",
		new:  "",
		pkg:  "./internal/quota", test: "TestARenewedLeaseBringsNothingBack",
	},
	{
		name: "units-rest-too-short",
		file: "internal/quota/limit.go",
		old:  "	return int((b.Window+lateness+slotTime-1)/slotTime) + 1",
		new:  "	return int(b.Window / slotTime / 2)",
		pkg:  "./internal/quota", test: "TestNoWindowHoldsMoreThanTheLimit",
	},
	{
		name: "new-leader-deals-what-others-may-hold",
		file: "internal/quota/reserve.go",
		old:  "			p.calm, p.unknown = true, min(p.unknown, p.dealtBefore(dealt.of(name)))",
		new:  "			p.calm, p.unknown = true, 0",
		pkg:  "./internal/quota", test: "TestWhatANewLeaderDealsAtOnce",
	},
	{
		name: "more-dealt-before-the-mark-is-stored",
		file: "internal/router/quotamarks.go",
		old:  "		if len(wanted)+len(cooled) > 0 && q.storeMarks(ctx, tenure, &marks, wanted, cooled) {",
		new:  "		if q.storeMarks(ctx, tenure, &marks, wanted, cooled); len(wanted) > 0 {",
		pkg:  "./internal/router", test: "TestBusyTenantsAreMarkedBeforeMoreIsDealt",
	},
	{
		name: "mark-taken-off-while-more-is-booked",
		file: "internal/quota/marks.go",
		old:  "return p.cooling && p.booked <= p.dealt })",
		new:  "return p.cooling })",
		pkg:  "./internal/quota", test: "TestMarksComeOffOnceNoMoreIsBooked",
	},
}
