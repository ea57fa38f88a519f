// Package settings reads the settings of one process: a YAML file, overridden by flags. All
// settings are validated before the process starts.
package settings
