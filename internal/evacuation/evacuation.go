// Package evacuation holds the data centres to which nothing more may be sent, at the
// operators' request. It performs no I/O: its users pass it what they read from the store or
// hear from other processes.
//
// # Usage
//
//	holder := evacuation.New(evacuation.Config{Journal: journal, OnChange: apply})
//	holder.Update(evacuation.NewSet(version, "suva"), evacuation.SourceStore)
//	holder.Current().Contains("suva") // true
package evacuation

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Sources of sets, for the journal.
const (
	// SourceStore sets were read from the store by this process.
	SourceStore = "store"
	// SourcePeerStore sets were read from the store through another process.
	SourcePeerStore = "store through a peer"
	// SourcePeer sets were in another process's view.
	SourcePeer = "peer"
)

// Set is the set of evacuated data centres at one version of the store.
type Set struct {
	// AsOf is the version of the store that was read, or 0 if none was.
	AsOf uint64 `json:"as-of"`
	// DataCentres is sorted and must not be changed.
	DataCentres []string `json:"data-centres"`
}

// NewSet returns the set of the given data centres.
func NewSet(asOf uint64, dataCentres ...string) Set {
	sorted := slices.Clone(dataCentres)
	slices.Sort(sorted)
	return Set{AsOf: asOf, DataCentres: slices.Compact(sorted)}
}

// Contains reports whether a data centre is evacuated.
func (s Set) Contains(dataCentre string) bool {
	_, found := slices.BinarySearch(s.DataCentres, dataCentre)
	return found
}

// Prohibits reports whether nothing may be started in a data centre, which is "" if it is not
// known: that may be any of the evacuated ones.
func (s Set) Prohibits(dataCentre string) bool {
	return len(s.DataCentres) > 0 && (dataCentre == "" || s.Contains(dataCentre))
}

// Journal logs events.
type Journal interface {
	Info(event string, fields ...any)
}

// Config configures a Holder.
type Config struct {
	Journal Journal
	// OnChange is called with each set whose data centres differ from those before, one call at
	// a time and in the order of the versions. It must return at once. It may be nil.
	OnChange func(Set)
}

// Holder keeps the newest set and ignores older ones, so that neither a request nor its
// withdrawal is undone by an older view. It is safe for concurrent use.
type Holder struct {
	config  Config
	current atomic.Pointer[Set]
	mu      sync.Mutex
}

// New returns a holder of the empty set of version 0.
func New(config Config) *Holder {
	h := &Holder{config: config}
	h.current.Store(&Set{})
	return h
}

// Current returns the newest set.
func (h *Holder) Current() Set {
	return *h.current.Load()
}

// Update puts a set in force if its version is newer. It reports whether it was.
func (h *Holder) Update(set Set, source string) bool {
	if set.AsOf <= h.Current().AsOf {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.Current()
	if set.AsOf <= before.AsOf {
		return false
	}
	h.current.Store(&set)
	if slices.Equal(before.DataCentres, set.DataCentres) {
		return true
	}
	h.logDifference("evacuation requested", set, before, source, set.AsOf)
	h.logDifference("evacuation withdrawn", before, set, source, set.AsOf)
	if h.config.OnChange != nil {
		h.config.OnChange(set)
	}
	return true
}

// logDifference logs the data centres that only the first of two sets contains.
func (h *Holder) logDifference(event string, set, other Set, source string, version uint64) {
	for _, dataCentre := range set.DataCentres {
		if !other.Contains(dataCentre) {
			h.config.Journal.Info(event, "data-centre", dataCentre, "source", source, "version", version)
		}
	}
}
