package main

import (
	"fmt"
	"os"
	"slices"
	"time"
)

func main() {
	chosen, err := selectMutations(os.Args[1:])
	if err == nil {
		err = runAll(chosen)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutate:", err)
		os.Exit(1)
	}
}

// choose returns the mutations with the given names, all if there are none.
func selectMutations(names []string) ([]mutation, error) {
	if len(names) == 0 {
		return mutations, nil
	}
	var chosen []mutation
	for _, name := range names {
		at := slices.IndexFunc(mutations, func(m mutation) bool { return m.name == name })
		if at < 0 {
			return nil, fmt.Errorf("no mutation is named %q", name)
		}
		chosen = append(chosen, mutations[at])
	}
	return chosen, nil
}

// runAll tries each mutation in one copy of the tree and prints what became of
// it.
func runAll(chosen []mutation) error {
	work, err := copyTree()
	if err != nil {
		return err
	}
	defer work.remove()
	notKilled := 0
	for _, m := range chosen {
		began := time.Now()
		result := work.run(m)
		if result.outcome != outcomeKilled {
			notKilled++
		}
		fmt.Printf("%-9s %-28s %s %s (%.0fs)\n", result.outcome, m.name, m.pkg, m.test, time.Since(began).Seconds())
		if result.detail != "" {
			fmt.Println(result.detail)
		}
	}
	if notKilled > 0 {
		return fmt.Errorf("%d of %d mutations were not caught", notKilled, len(chosen))
	}
	return nil
}
