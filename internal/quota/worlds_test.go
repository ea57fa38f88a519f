//go:build !race

package quota

// leastWorlds is how many worlds the property test plays where nothing else is asked for: most
// mutations of the bound show within a thousand.
const leastWorlds = "3000"
