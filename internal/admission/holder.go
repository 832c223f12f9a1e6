package admission

import (
	"bytes"
	"sync"
	"time"
)

// Journal logs events.
type Journal interface {
	Info(event string, fields ...any)
}

// HolderConfig configures a Holder.
type HolderConfig struct {
	Journal Journal
}

// Holder holds the newest outlook that this process has received. It is safe for
// concurrent use.
type Holder struct {
	config HolderConfig

	mu      sync.Mutex
	outlook Outlook
	// token is that of the leader that sent the outlook, or 0 without one.
	token      uint64
	receivedAt time.Time
	// encoded is the outlook as it was received: most replies repeat it.
	encoded []byte
	// undecodable are the last bytes that could not be decoded, which are logged once.
	undecodable []byte
}

// NewHolder returns a Holder without an outlook.
func NewHolder(config HolderConfig) *Holder {
	return &Holder{config: config}
}

// Receive takes an outlook that the leader with a token has sent. It reports whether
// the outlook is in force: one of an earlier leader, one that was received before the
// newest, and one that cannot be decoded change nothing.
func (h *Holder) Receive(token uint64, encoded []byte, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if token == 0 || token < h.token || token == h.token && now.Before(h.receivedAt) {
		return false
	}
	if token != h.token || !bytes.Equal(encoded, h.encoded) {
		outlook, err := Decode(encoded)
		if err != nil {
			h.logUndecodable(token, encoded, err)
			return false
		}
		h.outlook, h.encoded, h.token = outlook, bytes.Clone(encoded), token
	}
	h.receivedAt = now
	return true
}

// logUndecodable logs bytes that cannot be decoded, once in a row.
func (h *Holder) logUndecodable(token uint64, encoded []byte, err error) {
	if bytes.Equal(encoded, h.undecodable) {
		return
	}
	h.undecodable = bytes.Clone(encoded)
	h.config.Journal.Info("outlook cannot be decoded", "token", token, "bytes", len(encoded), "error", err.Error())
}

// Current returns the newest outlook and how long ago it was received, or false if
// none has been received.
func (h *Holder) Current(now time.Time) (outlook Outlook, age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.token == 0 {
		return Outlook{}, 0, false
	}
	return h.outlook, max(0, now.Sub(h.receivedAt)), true
}
