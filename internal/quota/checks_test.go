//go:build !race

package quota

// defaultChecks is the number of cases of the property test unless the rapid.checks flag is set:
// most mutations of the bound fail within a thousand.
const defaultChecks = "3000"
