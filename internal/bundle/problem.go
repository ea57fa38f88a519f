package bundle

import "github.com/shalefork/shalefork/internal/strictyaml"

// Problem is one mistake in a bundle: its position and what was expected.
type Problem = strictyaml.Problem
