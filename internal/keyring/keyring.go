// Package keyring holds the teams' keys, hashed.
//
// # Usage
//
// A new key is shown once; only its hash is kept:
//
//	secret, key, err := keyring.New(rand.Reader, "acme")
//	fmt.Println(secret.Reveal())
//
// A Keyring is immutable, so any number of goroutines may check against it:
//
//	team, ok := ring.Check(presented)
package keyring

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

const (
	prefix      = "lk_"
	idBytes     = 8
	secretBytes = 32

	// idLength and secretLength are in characters.
	idLength     = 2 * idBytes
	secretLength = 43
	keyLength    = len(prefix) + idLength + 1 + secretLength
)

// Secret is a whole key in the form "lk_<id>_<secret>". It prints as its id.
type Secret struct {
	id, text string
}

// Reveal returns the key to hand to its team.
func (s Secret) Reveal() string {
	return s.text
}

// String returns the id alone.
func (s Secret) String() string {
	return prefix + s.id + "_[hidden]"
}

// GoString implements fmt.GoStringer.
func (s Secret) GoString() string {
	return s.String()
}

// MarshalText implements encoding.TextMarshaler without the secret.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Key is what is kept of a key. The hash is the SHA-256 of the secret's
// characters; secrets are random 256-bit numbers and need no slow hash.
type Key struct {
	ID        string `json:"id"`
	Team      string `json:"team"`
	Hash      []byte `json:"hash"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	// Revision is the one that last changed the key.
	Revision uint64 `json:"revision"`
}

// New returns a random key of the team and what to keep of it.
func New(random io.Reader, team string) (Secret, Key, error) {
	var raw [idBytes + secretBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		return Secret{}, Key{}, fmt.Errorf("random source for a key of team %q: %w", team, err)
	}
	id := hex.EncodeToString(raw[:idBytes])
	secret := base64.RawURLEncoding.EncodeToString(raw[idBytes:])
	hash := sha256.Sum256([]byte(secret))
	return Secret{id: id, text: prefix + id + "_" + secret}, Key{ID: id, Team: team, Hash: hash[:]}, nil
}

// Validate reports a malformed id or hash.
func (k Key) Validate() error {
	if raw, err := hex.DecodeString(k.ID); err != nil || len(raw) != idBytes || hex.EncodeToString(raw) != k.ID {
		return fmt.Errorf("key id %q is malformed, want %d lower-case hexadecimal digits", k.ID, idLength)
	}
	if len(k.Hash) != sha256.Size {
		return fmt.Errorf("hash of key %q has %d bytes, want %d", k.ID, len(k.Hash), sha256.Size)
	}
	return nil
}

// String names the key without its hash.
func (k Key) String() string {
	state := "in force"
	if k.Withdrawn {
		state = "withdrawn"
	}
	return fmt.Sprintf("key %s of team %s (%s)", k.ID, k.Team, state)
}

// GoString implements fmt.GoStringer.
func (k Key) GoString() string {
	return k.String()
}

// Keyring is an immutable set of keys by id.
type Keyring struct {
	keys map[string]Key
}

// Of returns the keyring of the keys. Keys whose hash is malformed are kept
// but never match.
func Of(keys ...Key) Keyring {
	ring := Keyring{keys: make(map[string]Key, len(keys))}
	for _, key := range keys {
		ring.keys[key.ID] = key
	}
	return ring
}

// With returns a ring with the keys added or replaced.
func (r Keyring) With(keys ...Key) Keyring {
	next := Keyring{keys: make(map[string]Key, len(r.keys)+len(keys))}
	maps.Copy(next.keys, r.keys)
	for _, key := range keys {
		next.keys[key.ID] = key
	}
	return next
}

// Without returns a ring without the ids.
func (r Keyring) Without(ids ...string) Keyring {
	next := Keyring{keys: maps.Clone(r.keys)}
	for _, id := range ids {
		delete(next.keys, id)
	}
	return next
}

// Get returns the key of an id.
func (r Keyring) Get(id string) (Key, bool) {
	key, ok := r.keys[id]
	return key, ok
}

// Keys returns all keys in the order of their ids.
func (r Keyring) Keys() []Key {
	return slices.SortedFunc(maps.Values(r.keys), func(a, b Key) int { return strings.Compare(a.ID, b.ID) })
}

// Check returns the team of a presented key, if it is in force. The time it
// takes depends on whether the id is known, which is no secret, but not on
// the secret; it allocates nothing on the heap.
func (r Keyring) Check(presented string) (team string, ok bool) {
	id, secret, ok := split(presented)
	if !ok {
		return "", false
	}
	key, known := r.keys[id]
	var raw [secretLength]byte
	copy(raw[:], secret)
	hash := sha256.Sum256(raw[:])
	if subtle.ConstantTimeCompare(hash[:], key.Hash) != 1 {
		return "", false
	}
	if !known || key.Withdrawn {
		return "", false
	}
	return key.Team, true
}

// ID returns the id part of a presented key, for logs.
func ID(presented string) (string, bool) {
	id, _, ok := split(presented)
	return id, ok
}

func split(presented string) (id, secret string, ok bool) {
	if len(presented) != keyLength || !strings.HasPrefix(presented, prefix) {
		return "", "", false
	}
	rest := presented[len(prefix):]
	if rest[idLength] != '_' {
		return "", "", false
	}
	return rest[:idLength], rest[idLength+1:], true
}
