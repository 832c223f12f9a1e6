package process

import (
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

type silentJournal struct{}

func (silentJournal) Note(string, ...any) {}

// A configuration of many queues is asked for once it is news, and not taken
// again from each process that has it.
func TestHints(t *testing.T) {
	const current = 3
	holder := policy.NewHolder(policy.HolderConfig{
		Decode:  func([]byte) (*policy.Policy, error) { return policy.New(policy.Config{Version: current}), nil },
		Changed: func(*policy.Policy, bool) {},
		Journal: silentJournal{},
	})
	holder.Offer([]byte("x"), policy.SourceStore)
	cases := map[string]struct {
		version uint64
		times   int
		want    int
	}{
		"older":          {current - 1, 1, 0},
		"the same":       {current, 1, 0},
		"newer":          {current + 1, 1, 1},
		"more than wait": {current + 1, 3 * pendingHints, pendingHints},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := &frontNode{holder: holder, hints: make(chan hint, pendingHints)}
			for range c.times {
				n.takeHint(c.version, record.Member{Name: "peer"})
			}
			if got := len(n.hints); got != c.want {
				t.Errorf("hints that wait: got %d, want %d", got, c.want)
			}
		})
	}
}
