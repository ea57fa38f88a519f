//go:build race

package explore

// fewerSteps: the race detector makes the single-threaded search some six times
// slower and can find nothing in it. The full bounds run without it.
const fewerSteps = 3
