//go:build !race

package grant_test

const raceDetector = false
