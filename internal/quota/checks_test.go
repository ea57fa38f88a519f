//go:build !race

package quota

// defaultChecks is how many worlds the property test plays where nothing else is asked for: most
// mutations of the bound show within a thousand.
const defaultChecks = "3000"
