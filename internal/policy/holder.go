package policy

import (
	"bytes"
	"sync"
	"sync/atomic"
)

// Journal records the configurations that the holder accepts or rejects.
type Journal interface {
	Info(event string, fields ...any)
}

// HolderConfig configures a holder.
type HolderConfig struct {
	// Decode parses a configuration in the operators' format.
	Decode func(encoded []byte) (*Policy, error)
	// OnChange is called with each newer version, one call at a time; fromStore is
	// true if it was read from the store, false if a peer sent it.
	OnChange func(current *Policy, fromStore bool)
	Journal  Journal
}

// SourceStore is the source to pass to Update for configurations read from the store.
const SourceStore = "store"

// Holder keeps the newest configuration and ignores older versions. It is safe
// for concurrent use.
type Holder struct {
	config  HolderConfig
	current atomic.Pointer[Policy]
	mu      sync.Mutex
	encoded []byte
	// compressed is that of an earlier version until a peer asks for a part.
	compressed compressed
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

// Update decodes a configuration and puts it in force if it is newer.
func (h *Holder) Update(encoded []byte, source string) {
	if len(encoded) == 0 || h.isInForce(encoded) {
		return
	}
	decoded, err := h.config.Decode(encoded)
	if err != nil {
		h.config.Journal.Info("cannot decode configuration", "source", source, "error", err.Error())
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.Current(); current != nil && decoded.Version <= current.Version {
		return
	}
	h.encoded = encoded
	h.current.Store(decoded)
	h.config.Journal.Info("configuration in force", "version", decoded.Version, "source", source,
		"queues", len(decoded.Queues), "accounts", len(decoded.Accounts))
	h.config.OnChange(decoded, source == SourceStore)
}

// isInForce reports whether a configuration is the one in force, byte for byte.
func (h *Holder) isInForce(encoded []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return bytes.Equal(encoded, h.encoded)
}

// PartAfter returns the part that follows after a position in the compressed configuration.
// It returns false if the version in force is not newer than the known version.
func (h *Holder) PartAfter(known uint64, after Position) (Part, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	version := h.Version()
	if version <= known {
		return Part{}, false
	}
	if h.compressed.version != version {
		h.compressed = compress(version, h.encoded)
	}
	return h.compressed.part(after), true
}

// NewerThan returns the version in force, and the encoded configuration if it is
// newer than the known version.
func (h *Holder) NewerThan(known uint64) (version uint64, encoded []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	version = h.Version()
	if version <= known {
		return version, nil
	}
	return version, h.encoded
}
