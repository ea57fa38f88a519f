//go:build race

package grant_test

// raceDetector makes the model take the smaller scenarios: it has no
// goroutines, and the detector makes it many times slower.
const raceDetector = true
