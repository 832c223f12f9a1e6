// Package duration encodes durations as text in JSON, such as "200ms".
//
// # Usage
//
//	type Faults struct {
//		Slow duration.Text `json:"slow,omitzero"` // "200ms"
//	}
package duration

import "time"

// Text is a time.Duration that is encoded as text with a unit.
type Text struct {
	time.Duration
}

// New returns d as a Text.
func New(d time.Duration) Text {
	return Text{Duration: d}
}

// MarshalText implements encoding.TextMarshaler.
func (t Text) MarshalText() ([]byte, error) {
	return []byte(t.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *Text) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	t.Duration = parsed
	return err
}
