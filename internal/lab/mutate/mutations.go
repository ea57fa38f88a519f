package main

import "slices"

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
var mutations = slices.Concat(
	ownerMutations, incarnationMutations, requestMutations, updateMutations,
	quarantineMutations, clockMutations,
	quotaMutations, tenantMutations, fairMutations,
	bodyMutations, regionMutations, limitMutations, noticeMutations,
)
