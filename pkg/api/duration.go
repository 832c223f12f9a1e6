package api

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded with units, such as "2.5s".
type Duration time.Duration

// String returns the duration with units.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q is malformed, want a number with a unit such as 2s", text)
	}
	*d = Duration(parsed)
	return nil
}
