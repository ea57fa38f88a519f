package experiment

import (
	"os"
	"strconv"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("SEEDS"))
	var variants []string
	if v := os.Getenv("VARIANT"); v != "" {
		variants = []string{v}
	}
	start := time.Now()
	if err := Run(Options{Output: os.Stdout, Seeds: max(1, seeds), Parallel: 4, Variants: variants, Directory: "/tmp/exprun"}); err != nil {
		t.Fatal(err)
	}
	t.Log(time.Since(start))
}
