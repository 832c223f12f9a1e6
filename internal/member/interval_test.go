package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/record"
)

// TestInterval: hellos become rarer as the fleet grows, but a leader that the store
// turns away must notice it as soon as in a small fleet.
func TestInterval(t *testing.T) {
	tests := map[string]struct {
		members int
		leading bool
		want    time.Duration
	}{
		"follower of a small fleet": {members: 6, want: minHelloInterval},
		"leader of a small fleet":   {members: 6, leading: true, want: minHelloInterval},
		"follower of a large fleet": {members: 300, want: 300 * helloIntervalPerMember},
		"leader of a large fleet":   {members: 300, leading: true, want: minHelloInterval},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			node := New(Config{Name: "self"})
			node.leading = test.leading
			for n := range test.members {
				other := record.Member{Name: fmt.Sprintf("other-%d", n)}
				node.members[other.Name] = other
			}
			if got := node.interval(); got != test.want {
				t.Errorf("time between two rounds: got %s, want %s", got, test.want)
			}
		})
	}
}

func TestRowFormat(t *testing.T) {
	tests := map[string]struct {
		members []record.Member
		want    int
	}{
		"no other is known yet":     {want: 1},
		"all read the newest":       {members: []record.Member{{Name: "a", RowFormat: 4}, {Name: "b", RowFormat: 4}}, want: 4},
		"one reads no compact rows": {members: []record.Member{{Name: "a", RowFormat: 4}, {Name: "b", RowFormat: 3}}, want: 3},
		"all read compressed rows":  {members: []record.Member{{Name: "a", RowFormat: 2}, {Name: "b", RowFormat: 2}}, want: 2},
		"one knows no refusals":     {members: []record.Member{{Name: "a", RowFormat: 3}, {Name: "b", RowFormat: 2}}, want: 2},
		"one is older":              {members: []record.Member{{Name: "a", RowFormat: 4}, {Name: "b"}}, want: 1},
		"one is newer":              {members: []record.Member{{Name: "a", RowFormat: 7}}, want: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			node := New(Config{Name: "self"})
			for _, other := range test.members {
				node.members[other.Name] = other
			}
			if got := int(node.RowFormat()); got != test.want {
				t.Errorf("form of rows: got %d, want %d", got, test.want)
			}
		})
	}
}
