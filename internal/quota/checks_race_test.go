//go:build race

package quota

// defaultChecks is lower under the race detector, which makes each case take eight times as long.
const defaultChecks = "400"
