package main

import "slices"

// mutation breaks one rule by replacing one piece of code.
type mutation struct {
	name string
	// file contains the text old exactly once, which new replaces.
	file string
	old  string
	new  string
	// test is the test function in package pkg that must fail on the mutated code.
	pkg  string
	test string
}

// mutations break the rules that docs/PROOFS.md lists.
var mutations = slices.Concat(
	ownerMutations, incarnationMutations, requestMutations, updateMutations,
	quarantineMutations, clockMutations,
	quotaMutations, tenantMutations, fairMutations,
	bodyMutations, regionMutations, limitMutations, noticeMutations, partitionMutations, intakeMutations, answerMutations,
)
