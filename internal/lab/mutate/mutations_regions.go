package main

// regionMutations serve requests outside their allowed regions, or let large bodies use up the
// bandwidth between regions.
var regionMutations = []mutation{
	{
		name: "pool-serves-outside-its-regions",
		file: "internal/proxy/pick.go",
		old:  "tried[one.id] || required.regionAllowed != nil && !required.regionAllowed(one.region) ||",
		new:  "tried[one.id] ||",
		pkg:  "./internal/proxy", test: "TestPoolsServeInAllowedRegionsOnly",
	},
	{
		name: "owner-serves-outside-its-regions",
		file: "internal/proxy/keyed.go",
		old:  "case c.regionBound() && !c.allowedIn(c.proxy.fleet.regionOf(to.info())):",
		new:  "case false:",
		pkg:  "./internal/proxy", test: "TestKeyOwnedInTheWrongRegionIsNotServed",
	},
	{
		name: "large-body-crosses-without-room",
		file: "internal/proxy/crossing.go",
		old:  "if regionLate && linkHasCapacity() {",
		new:  "if regionLate {",
		pkg:  "./internal/proxy", test: "TestChoiceByDistance",
	},
	{
		name: "copy-crosses-with-a-large-body",
		file: "internal/proxy/pooled.go",
		old:  "required.sameRegionOnly = required.bulk",
		new:  "required.sameRegionOnly = false",
		pkg:  "./internal/proxy", test: "TestHedgesStayInAllowedRegion",
	},
	{
		name: "parts-are-owed-without-end",
		file: "internal/proxy/swaps.go",
		old:  "if s.owed[pair] < maxOwed && locate(picked) == inOtherRegion && locate(part.Service) == inSameRegion {",
		new:  "if locate(picked) == inOtherRegion && locate(part.Service) == inSameRegion {",
		pkg:  "./internal/proxy", test: "TestSwapsPreserveWeights",
	},
	{
		name: "bound-keys-are-owned-anywhere",
		file: "internal/keeper/plan.go",
		old:  "bound && t.Regions.RegionCount() > 1 {",
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
