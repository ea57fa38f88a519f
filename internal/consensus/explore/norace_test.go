//go:build !race

package explore

// fewerSteps is taken off the bounds of each case.
const fewerSteps = 0
