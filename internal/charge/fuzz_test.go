package charge_test

import (
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/charge"
)

// FuzzParseRunID checks that an accepted run ID parses to the same value after
// it is formatted again.
func FuzzParseRunID(f *testing.F) {
	for _, text := range []string{"entry-1.17.4", "", "..", "entry-1.007.4", "a.b.1.2", "entry-1.18446744073709551616.1", ".1.2"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		want, err := charge.ParseRunID(text)
		if err != nil {
			return
		}
		if got, err := charge.ParseRunID(want.String()); err != nil || got != want {
			t.Errorf("got %v, %v, want %v", got, err, want)
		}
	})
}
