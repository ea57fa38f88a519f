// Package registry stores the teams' bundles in the key-value service, lets operators propose,
// approve and roll versions of them, and compiles the versions in force to routes, services and
// workers.
//
// Each team has one record. It is written only on condition that it has not changed since it was read.
package registry

import (
	"encoding/json"
	"maps"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lifecycle"
)

// Error is the class of errors of this package.
var Error = errs.Class("registry")

// Prefix returns the key prefix of the records, under the system's own prefix.
func Prefix(systemPrefix string) string { return systemPrefix + "bundles/" }

// Record is the stored record of a team.
type Record struct {
	Head lifecycle.Head `json:"head"`
	// Bundles are the versions that are in force or may still come into force.
	Bundles map[bundle.Version]bundle.Bundle `json:"bundles"`
}

// Decode decodes a stored record.
func Decode(value []byte) (Record, error) {
	var read Record
	err := json.Unmarshal(value, &read)
	return read, Error.Wrap(err)
}

// withHead returns the record with another head and, unless added is nil, one more bundle. It drops
// the bundles of versions that were refused or replaced or that the head does not contain.
func (r Record) withHead(head lifecycle.Head, added *bundle.Bundle) Record {
	kept := maps.Clone(r.Bundles)
	if kept == nil {
		kept = map[bundle.Version]bundle.Bundle{}
	}
	if added != nil {
		kept[added.Version] = *added
	}
	maps.DeleteFunc(kept, func(version bundle.Version, _ bundle.Bundle) bool {
		entry, found := head.Find(version)
		return !found || entry.State == lifecycle.StateRefused || entry.State == lifecycle.StateReplaced
	})
	return Record{Head: head, Bundles: kept}
}
