package ledgernode

import (
	"slices"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/ledger"
)

// leftOut keeps account of the gateways that get no copies in a tenure since
// they did not answer. Other gateways are told of them when they vouch, so that
// a later owner need not hear from them. One that answers again gets copies
// again only after everybody who was told has been told otherwise.
type leftOut struct {
	// round counts the changes of the list that is announced.
	round uint64
	// names that are announced as left out.
	names []bundle.ServerName
	// returning names are announced no more, but still get no copies.
	returning []bundle.ServerName
	// told lists, for each name, who may believe that it is left out.
	told map[bundle.ServerName]map[ledger.Holder]bool
	// vouching holds the round that each gateway last vouched for.
	vouching map[ledger.Holder]uint64
}

func newLeftOut() leftOut {
	return leftOut{
		round:    1,
		told:     map[bundle.ServerName]map[ledger.Holder]bool{},
		vouching: map[ledger.Holder]uint64{},
	}
}

// announced lists the gateways that are left out, as others are told.
func (l *leftOut) announced() []bundle.ServerName {
	return slices.Clone(l.names)
}

// bars reports whether the gateway gets no copies.
func (l *leftOut) bars(name bundle.ServerName) bool {
	return slices.Contains(l.names, name) || slices.Contains(l.returning, name)
}

// add leaves a gateway out.
func (l *leftOut) add(name bundle.ServerName) {
	if slices.Contains(l.names, name) {
		return
	}
	l.returning = remove(l.returning, name)
	l.names = append(l.names, name)
	slices.Sort(l.names)
	l.round++
}

// takeBack begins to let a gateway in again.
func (l *leftOut) takeBack(name bundle.ServerName) {
	if !slices.Contains(l.names, name) {
		return
	}
	l.names = remove(l.names, name)
	l.returning = append(l.returning, name)
	l.round++
	l.settle()
}

// telling notes, before a message leaves, that the holder may learn the list.
func (l *leftOut) telling(holder ledger.Holder) {
	for _, name := range l.names {
		if l.told[name] == nil {
			l.told[name] = map[ledger.Holder]bool{}
		}
		l.told[name][holder] = true
	}
}

// vouched notes that the holder has taken the list of the tenure.
func (l *leftOut) vouched(holder ledger.Holder, tenure ledger.Tenure) {
	l.vouching[holder] = max(l.vouching[holder], tenure.Round)
	for name, believers := range l.told {
		if !slices.Contains(tenure.Without, name) {
			delete(believers, holder)
		}
	}
	l.settle()
}

// settle ends the return of those whom nobody believes to be left out.
func (l *leftOut) settle() {
	l.returning = slices.DeleteFunc(l.returning, func(name bundle.ServerName) bool {
		return len(l.told[name]) == 0
	})
}

// isCurrent reports whether the holder vouches for the present list.
func (l *leftOut) isCurrent(holder ledger.Holder) bool {
	return l.vouching[holder] == l.round
}

func remove(list []bundle.ServerName, name bundle.ServerName) []bundle.ServerName {
	return slices.DeleteFunc(list, func(other bundle.ServerName) bool { return other == name })
}
