package main

// regionMutations serve bound requests outside, or let large bodies fill the link between regions.
var regionMutations = []mutation{
	{
		name: "pool-serves-outside-its-regions",
		file: "internal/proxy/pick.go",
		old:  "tried[one.id] || required.serves != nil && !required.serves(one.region) ||",
		new:  "tried[one.id] ||",
		pkg:  "./internal/proxy", test: "TestPoolsServeInAllowedRegionsOnly",
	},
	{
		name: "owner-serves-outside-its-regions",
		file: "internal/proxy/keyed.go",
		old:  "case c.bound() && !c.servedIn(c.proxy.fleet.regionOf(to.info())):",
		new:  "case false:",
		pkg:  "./internal/proxy", test: "TestKeyOwnedInTheWrongRegionIsNotServed",
	},
	{
		name: "large-body-crosses-without-room",
		file: "internal/proxy/crossing.go",
		old:  "if short && spare() {",
		new:  "if short {",
		pkg:  "./internal/proxy", test: "TestChoiceByDistance",
	},
	{
		name: "copy-crosses-with-a-large-body",
		file: "internal/proxy/pooled.go",
		old:  "required.stay = required.bulk",
		new:  "asks.stay = false",
		pkg:  "./internal/proxy", test: "TestCopiesStayInside",
	},
	{
		name: "parts-are-owed-without-end",
		file: "internal/proxy/swaps.go",
		old:  "if s.owed[pair] < mostOwed && where(dealt) == acrossLink && where(part.Service) == inRegion {",
		new:  "if where(dealt) == acrossLink && where(part.Service) == inRegion {",
		pkg:  "./internal/proxy", test: "TestSwapsKeepTheWeights",
	},
	{
		name: "bound-keys-are-owned-anywhere",
		file: "internal/keeper/plan.go",
		old:  "bound && t.Regions.Regions() > 1 {",
		new:  "bound && false {",
		pkg:  "./internal/keeper", test: "TestKeysMoveIntoRequiredRegion",
	},
	{
		name: "far-processes-campaign-as-early",
		file: "internal/router/lead.go",
		old:  "	return pause + r.distanceDelay()",
		new:  "	return pause",
		pkg:  "./internal/router", test: "TestProcessesNearTheStoreCampaignFirst",
	},
}
