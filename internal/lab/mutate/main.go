package main

import (
	"fmt"
	"os"
	"slices"
	"time"
)

func main() {
	selected, err := selectMutations(os.Args[1:])
	if err == nil {
		err = runAll(selected)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutate:", err)
		os.Exit(1)
	}
}

// selectMutations returns the mutations with the given names, or all if names is empty.
func selectMutations(names []string) ([]mutation, error) {
	if len(names) == 0 {
		return mutations, nil
	}
	var selected []mutation
	for _, name := range names {
		index := slices.IndexFunc(mutations, func(m mutation) bool { return m.name == name })
		if index < 0 {
			return nil, fmt.Errorf("no mutation is named %q", name)
		}
		selected = append(selected, mutations[index])
	}
	return selected, nil
}

// runAll runs each mutation in one copy of the source tree and prints the outcomes.
func runAll(selected []mutation) error {
	copied, err := copyTree()
	if err != nil {
		return err
	}
	defer copied.remove()
	notKilled := 0
	for _, m := range selected {
		began := time.Now()
		result := copied.run(m)
		if result.outcome != outcomeKilled {
			notKilled++
		}
		fmt.Printf("%-9s %-28s %s %s (%.0fs)\n", result.outcome, m.name, m.pkg, m.test, time.Since(began).Seconds())
		if result.detail != "" {
			fmt.Println(result.detail)
		}
	}
	if notKilled > 0 {
		return fmt.Errorf("%d of %d mutations were not caught", notKilled, len(selected))
	}
	return nil
}
