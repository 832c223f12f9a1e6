// Package keyring stores the hashes of the teams' API keys and checks presented keys.
//
// # Usage
//
// A new key is shown once; only its hash is stored:
//
//	secret, key, err := keyring.New(rand.Reader, "acme")
//	fmt.Println(secret.Reveal())
//
// A Keyring is immutable and safe for concurrent use:
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

// Secret is a complete key in the form "lk_<id>_<secret>". It is printed without the
// secret.
type Secret struct {
	id, text string
}

// Reveal returns the complete key, which is to be passed on to its team.
func (s Secret) Reveal() string {
	return s.text
}

// String returns the key with the secret replaced by "[hidden]".
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

// Key is the stored part of a key. The hash is the SHA-256 of the secret's
// characters. Secrets are random 256-bit numbers, so a slow hash is not needed.
type Key struct {
	ID        string `json:"id"`
	Team      string `json:"team"`
	Hash      []byte `json:"hash"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	// Revision is the revision that last changed the key.
	Revision uint64 `json:"revision"`
}

// New generates a key of the team. It returns the complete key and the part to store.
func New(random io.Reader, team string) (Secret, Key, error) {
	var raw [idBytes + secretBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		return Secret{}, Key{}, fmt.Errorf("read random bytes for a key of team %q: %w", team, err)
	}
	id := hex.EncodeToString(raw[:idBytes])
	secret := base64.RawURLEncoding.EncodeToString(raw[idBytes:])
	hash := sha256.Sum256([]byte(secret))
	return Secret{id: id, text: prefix + id + "_" + secret}, Key{ID: id, Team: team, Hash: hash[:]}, nil
}

// Validate returns an error if the id or the hash is malformed.
func (k Key) Validate() error {
	if raw, err := hex.DecodeString(k.ID); err != nil || len(raw) != idBytes || hex.EncodeToString(raw) != k.ID {
		return fmt.Errorf("key id %q is malformed, want %d lower-case hexadecimal digits", k.ID, idLength)
	}
	if len(k.Hash) != sha256.Size {
		return fmt.Errorf("hash of key %q has %d bytes, want %d", k.ID, len(k.Hash), sha256.Size)
	}
	return nil
}

// String describes the key without its hash.
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

// Of returns a keyring with the keys. Keys whose hash is malformed are included but
// never match.
func Of(keys ...Key) Keyring {
	ring := Keyring{keys: make(map[string]Key, len(keys))}
	for _, key := range keys {
		ring.keys[key.ID] = key
	}
	return ring
}

// With returns a copy of the keyring with the keys added or replaced.
func (r Keyring) With(keys ...Key) Keyring {
	next := Keyring{keys: make(map[string]Key, len(r.keys)+len(keys))}
	maps.Copy(next.keys, r.keys)
	for _, key := range keys {
		next.keys[key.ID] = key
	}
	return next
}

// Without returns a copy of the keyring without the keys with the ids.
func (r Keyring) Without(ids ...string) Keyring {
	next := Keyring{keys: maps.Clone(r.keys)}
	for _, id := range ids {
		delete(next.keys, id)
	}
	return next
}

// Get returns the key with an id.
func (r Keyring) Get(id string) (Key, bool) {
	key, ok := r.keys[id]
	return key, ok
}

// Keys returns all keys, sorted by id.
func (r Keyring) Keys() []Key {
	return slices.SortedFunc(maps.Values(r.keys), func(a, b Key) int { return strings.Compare(a.ID, b.ID) })
}

// Check returns the team of a presented key, and whether the key is valid. The time
// it takes may reveal whether the id is known, which is not secret, but nothing
// about the secret. It does not allocate on the heap.
func (r Keyring) Check(presented string) (team string, ok bool) {
	id, secret, ok := splitKey(presented)
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

// ID returns the id of a presented key, which may be logged.
func ID(presented string) (string, bool) {
	id, _, ok := splitKey(presented)
	return id, ok
}

// splitKey splits a presented key into its id and secret.
func splitKey(presented string) (id, secret string, ok bool) {
	if len(presented) != keyLength || !strings.HasPrefix(presented, prefix) {
		return "", "", false
	}
	rest := presented[len(prefix):]
	if rest[idLength] != '_' {
		return "", "", false
	}
	return rest[:idLength], rest[idLength+1:], true
}
