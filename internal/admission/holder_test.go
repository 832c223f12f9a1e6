package admission_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/admission"
)

// countingJournal counts the lines of each event.
type countingJournal map[string]int

func (j countingJournal) Info(event string, _ ...any) { j[event]++ }

// Guards against decisions by an outlook that is not the newest: of a leader that has a
// successor, received earlier, or not understood.
func TestHolder(t *testing.T) {
	start := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	type reply struct {
		token   uint64
		encoded string
		after   time.Duration
	}
	const short, shorter = `{"pools":{"orders":{"cores":8,"short-for":1}}}`, `{"pools":{"orders":{"cores":4,"short-for":1}}}`
	tests := map[string]struct {
		replies []reply
		// wantCores is 0 for an outlook without the pool; wantAge is 5 s after the start.
		wantCores float64
		wantAge   time.Duration
		wantNone  bool
		wantLines int
	}{
		"nothing received":                 {wantNone: true},
		"one outlook":                      {replies: []reply{{7, short, time.Second}}, wantCores: 8, wantAge: 4 * time.Second},
		"repeated":                         {replies: []reply{{7, short, 0}, {7, short, 3 * time.Second}}, wantCores: 8, wantAge: 2 * time.Second},
		"newer":                            {replies: []reply{{7, short, 0}, {7, shorter, time.Second}}, wantCores: 4, wantAge: 4 * time.Second},
		"shortage over":                    {replies: []reply{{7, short, 0}, {7, "", time.Second}}, wantAge: 4 * time.Second},
		"of the next leader":               {replies: []reply{{7, short, 0}, {8, shorter, time.Second}}, wantCores: 4, wantAge: 4 * time.Second},
		"of an older leader":               {replies: []reply{{8, shorter, 0}, {7, short, time.Second}}, wantCores: 4, wantAge: 5 * time.Second},
		"same bytes of an older leader":    {replies: []reply{{8, short, 0}, {7, short, time.Second}}, wantCores: 8, wantAge: 5 * time.Second},
		"received late":                    {replies: []reply{{7, short, time.Second}, {7, shorter, 0}}, wantCores: 8, wantAge: 4 * time.Second},
		"without a leader":                 {replies: []reply{{0, short, 0}}, wantNone: true},
		"undecodable":                      {replies: []reply{{7, "{", 0}}, wantNone: true, wantLines: 1},
		"undecodable again and again":      {replies: []reply{{7, short, 0}, {7, "{", 1}, {7, "{", 2}, {7, "{", 3}}, wantCores: 8, wantAge: 5 * time.Second, wantLines: 1},
		"undecodable of a later leader":    {replies: []reply{{7, short, 0}, {8, "[]", time.Second}}, wantCores: 8, wantAge: 5 * time.Second, wantLines: 1},
		"decodable after undecodable news": {replies: []reply{{7, "{", 0}, {7, short, time.Second}}, wantCores: 8, wantAge: 4 * time.Second, wantLines: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lines := countingJournal{}
			holder := admission.NewHolder(admission.HolderConfig{Journal: lines})
			for _, r := range test.replies {
				holder.Receive(r.token, []byte(r.encoded), start.Add(r.after))
			}
			outlook, age, ok := holder.Current(start.Add(5 * time.Second))
			if ok == test.wantNone || age != test.wantAge || outlook.Pools["orders"].Cores != test.wantCores {
				t.Errorf("current: got %+v of age %s (%t), want %g cores and age %s", outlook, age, ok, test.wantCores, test.wantAge)
			}
			if got := lines["outlook cannot be decoded"]; got != test.wantLines {
				t.Errorf("lines of undecodable outlooks: got %d, want %d", got, test.wantLines)
			}
		})
	}
}
