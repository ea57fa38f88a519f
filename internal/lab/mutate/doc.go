// Command mutate breaks one safety rule at a time in a copy of the source tree,
// by a change of one line, and shows that a named test then fails.
//
//	go run ./internal/lab/mutate            all mutations
//	go run ./internal/lab/mutate NAME...    some of them
//
// It ends with status 1 if a mutation's text is not found exactly once, does not
// compile, or survives its test. The copy is removed at the end.
package main
