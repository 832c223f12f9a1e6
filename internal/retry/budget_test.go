package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestAllow(t *testing.T) {
	soon := epoch.Add(time.Second)
	for name, tc := range map[string]struct {
		attempt Attempt
		want    Verdict
	}{
		"unmarked":             {Attempt{Number: 1, Sent: true, Deadline: soon}, Allowed},
		"marked, nothing sent": {Attempt{Number: 1, NotRepeatable: true, Deadline: soon}, Allowed},
		"marked and sent":      {Attempt{Number: 1, NotRepeatable: true, Sent: true, Deadline: soon}, MayHaveRun},
		"past the deadline":    {Attempt{Number: 1, Deadline: epoch}, TooLate},
		"third attempt failed": {Attempt{Number: 3, Deadline: soon}, TooManyAttempts},
	} {
		t.Run(name, func(t *testing.T) {
			if got := New(Config{}).Allow(epoch, tc.attempt); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Ratio: rapid.Float64Range(0.01, 0.5).Draw(t, "ratio"),
			Burst: rapid.Float64Range(1, 20).Draw(t, "burst"),
		}
		b := New(cfg)
		fresh, retries := 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "fresh") {
				b.RecordRequest()
				fresh++
				continue
			}
			attempt := Attempt{
				Number:        rapid.IntRange(1, 3).Draw(t, "number"),
				NotRepeatable: rapid.Bool().Draw(t, "marked"),
				Sent:          rapid.Bool().Draw(t, "sent"),
				Deadline:      epoch.Add(time.Duration(rapid.IntRange(-5, 50).Draw(t, "left")) * time.Millisecond),
			}
			if b.Allow(epoch, attempt) != Allowed {
				continue
			}
			retries++
			if attempt.NotRepeatable && attempt.Sent || !attempt.Deadline.After(epoch) {
				t.Fatalf("got another attempt after %+v", attempt)
			}
		}
		if limit := cfg.Burst + cfg.Ratio*fresh + 1e-6; retries > limit {
			t.Fatalf("got %v retries, want at most %v", retries, limit)
		}
	})
}
