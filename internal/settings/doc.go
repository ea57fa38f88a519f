// Package settings holds what one process is told at its start: a YAML file,
// overridden by flags, checked whole before anything starts.
package settings
