package policy

import (
	"sync"
	"sync/atomic"
)

// Journal takes what the holder comes to believe.
type Journal interface {
	Info(event string, fields ...any)
}

// HolderConfig configures a holder.
type HolderConfig struct {
	// Decode reads a configuration as the operators wrote it.
	Decode func(value []byte) (*Policy, error)
	// Changed is called with each newer version, one at a time; fresh is true if
	// it came from the store and not from another process.
	OnChange func(current *Policy, fresh bool)
	Journal  Journal
}

// SourceStore is the source of configurations that were read from the store.
const SourceStore = "store"

// Holder keeps the newest configuration. It never goes back to an older one.
type Holder struct {
	config  HolderConfig
	current atomic.Pointer[Policy]
	mu      sync.Mutex
	value   []byte
}

// NewHolder returns a holder without a configuration.
func NewHolder(config HolderConfig) *Holder {
	return &Holder{config: config}
}

// Current returns the configuration in force, or nil.
func (h *Holder) Current() *Policy {
	return h.current.Load()
}

// Version returns the version in force, or 0.
func (h *Holder) Version() uint64 {
	if current := h.Current(); current != nil {
		return current.Version
	}
	return 0
}

// Offer puts a configuration in force if it is newer.
func (h *Holder) Update(value []byte, source string) {
	if len(value) == 0 {
		return
	}
	offered, err := h.config.Decode(value)
	if err != nil {
		h.config.Journal.Info("configuration not readable", "source", source, "error", err.Error())
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.Current(); current != nil && offered.Version <= current.Version {
		return
	}
	h.value = value
	h.current.Store(offered)
	h.config.Journal.Info("configuration in force", "version", offered.Version, "source", source,
		"queues", len(offered.Queues), "accounts", len(offered.Accounts))
	h.config.OnChange(offered, source == SourceStore)
}

// Newer returns the configuration if it is newer than have.
func (h *Holder) NewerThan(have uint64) (version uint64, value []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	version = h.Version()
	if version <= have {
		return version, nil
	}
	return version, h.value
}
