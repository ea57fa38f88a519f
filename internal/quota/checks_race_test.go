//go:build race

package quota

// defaultChecks is fewer where the race detector makes each take eight times as long.
const defaultChecks = "400"
