// Package registry keeps the teams' bundles in the key-value service, lets
// operators propose, approve and roll versions of them, and turns what is in
// force into routes, services and workers.
//
// A team has one record, changed only under the condition that nobody else has
// changed it since it was read.
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

// Prefix returns where the records stand, under the system's own prefix.
func Prefix(own string) string { return own + "bundles/" }

// Record is what is stored for a team.
type Record struct {
	Head lifecycle.Head `json:"head"`
	// Bundles are the versions that may still come into force or are.
	Bundles map[bundle.Version]bundle.Bundle `json:"bundles"`
}

// Decode reads a stored record.
func Decode(value []byte) (Record, error) {
	var read Record
	err := json.Unmarshal(value, &read)
	return read, Error.Wrap(err)
}

// with returns the record under another head, without bundles of versions that
// are over, and with one more bundle if it is given.
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
