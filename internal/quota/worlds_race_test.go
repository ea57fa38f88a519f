//go:build race

package quota

// leastWorlds is fewer where the race detector makes each take eight times as long.
const leastWorlds = "400"
