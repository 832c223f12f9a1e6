package keyring_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand"
	"strings"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/keyring"
)

func TestCheck(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	secret, key := newKey(t, random, "acme")
	otherSecret, other := newKey(t, random, "bait")
	withdrawn := other
	withdrawn.Withdrawn = true
	malformed := key
	malformed.Hash = nil
	text := secret.Reveal()
	crossed := text[:20] + otherSecret.Reveal()[20:]
	tests := map[string]struct {
		ring      keyring.Keyring
		presented string
		want      string
	}{
		"in force":           {keyring.Of(key, other), text, "acme"},
		"other team":         {keyring.Of(key, other), otherSecret.Reveal(), "bait"},
		"withdrawn":          {keyring.Of(key, withdrawn), otherSecret.Reveal(), ""},
		"removed":            {keyring.Of(key, other).Without(key.ID), text, ""},
		"no keys":            {keyring.Keyring{}, text, ""},
		"hash is missing":    {keyring.Of(malformed), text, ""},
		"other key's secret": {keyring.Of(key, other), crossed, ""},
		"truncated":          {keyring.Of(key), text[:len(text)-1], ""},
		"empty":              {keyring.Of(key), "", ""},
		"id alone":           {keyring.Of(key), secret.String(), ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := tc.ring.Check(tc.presented)
			if got != tc.want || ok != (tc.want != "") {
				t.Errorf("got %q, %v, want %q", got, ok, tc.want)
			}
		})
	}
}

func TestCheckDoesNotAllocate(t *testing.T) {
	secret, key := newKey(t, rand.New(rand.NewSource(1)), "acme")
	ring, text := keyring.Of(key), secret.Reveal()
	if got := testing.AllocsPerRun(100, func() { ring.Check(text) }); got != 0 {
		t.Errorf("got %g allocations, want 0", got)
	}
}

func TestSecretsAreNotPrinted(t *testing.T) {
	secret, key := newKey(t, rand.New(rand.NewSource(1)), "acme")
	var out bytes.Buffer
	fmt.Fprintf(&out, "%v %+v %#v %s %q", secret, secret, secret, secret, secret)
	fmt.Fprintf(&out, "%v %+v %#v", key, key, key)
	if err := json.NewEncoder(&out).Encode(secret); err != nil {
		t.Fatal(err)
	}
	slog.New(slog.NewJSONHandler(&out, nil)).Info("key", "secret", secret)
	got := out.String()
	if hidden := secret.Reveal()[20:]; strings.Contains(got, hidden) {
		t.Errorf("got %s, want it without %s", got, hidden)
	}
}

func BenchmarkCheck(b *testing.B) {
	secret, key, err := keyring.New(rand.New(rand.NewSource(1)), "acme")
	if err != nil {
		b.Fatal(err)
	}
	ring, text := keyring.Of(key), secret.Reveal()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ring.Check(text)
		}
	})
}

func newKey(t *testing.T, random *rand.Rand, team string) (keyring.Secret, keyring.Key) {
	t.Helper()
	secret, key, err := keyring.New(random, team)
	if err != nil {
		t.Fatal(err)
	}
	return secret, key
}
