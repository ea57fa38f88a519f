package experiment

// mechanisms are the parts of the system that a variant may leave out.
type mechanisms struct {
	// fenced is the system itself; without it static consistent hashing and
	// round robin route, and nothing grants ownership.
	fenced        bool
	balance       bool
	hotKeySlices  bool
	churnBudget   bool
	hedging       bool
	retryBudget   bool
	slowStart     bool
	leastInFlight bool
}

// variant is one system to be measured.
type variant struct {
	name       string
	mechanisms mechanisms
}

// Names of the variants that others are compared with.
const (
	variantFull   = "full"
	variantStatic = "static-hashing"
)

func allMechanisms() mechanisms {
	return mechanisms{
		fenced: true, balance: true, hotKeySlices: true, churnBudget: true,
		hedging: true, retryBudget: true, slowStart: true, leastInFlight: true,
	}
}

// without returns the full system without one mechanism.
func without(name string, remove func(*mechanisms)) variant {
	left := allMechanisms()
	remove(&left)
	return variant{name: "no-" + name, mechanisms: left}
}

// variants in the order of the report.
func variants() []variant {
	return []variant{
		{name: variantFull, mechanisms: allMechanisms()},
		{name: variantStatic},
		without("balance", func(m *mechanisms) { m.balance = false }),
		without("hot-key-slices", func(m *mechanisms) { m.hotKeySlices = false }),
		without("churn-budget", func(m *mechanisms) { m.churnBudget = false }),
		without("hedging", func(m *mechanisms) { m.hedging = false }),
		without("retry-budget", func(m *mechanisms) { m.retryBudget = false }),
		without("slow-start", func(m *mechanisms) { m.slowStart = false }),
		without("least-in-flight", func(m *mechanisms) { m.leastInFlight = false }),
	}
}

// chosenVariants returns the variants with the given names, all for none.
func chosenVariants(names []string) ([]variant, error) {
	all := variants()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []variant
	for _, name := range names {
		found := false
		for _, candidate := range all {
			if candidate.name == name {
				chosen = append(chosen, candidate)
				found = true
			}
		}
		if !found {
			return nil, Error.New("unknown variant %q", name)
		}
	}
	return chosen, nil
}
