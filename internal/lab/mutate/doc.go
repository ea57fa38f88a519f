// Command mutate breaks one safety rule at a time in a copy of the source tree, by replacing one
// piece of code, and checks that a named test then fails.
//
//	go run ./internal/lab/mutate            all mutations
//	go run ./internal/lab/mutate NAME...    the named mutations
//
// It exits with status 1 if a mutation's code is not found exactly once, if the test fails without
// the mutation, or if the mutated code does not compile or passes the test. The copy is removed at
// the end.
package main
