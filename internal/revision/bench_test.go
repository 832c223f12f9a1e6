package revision_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/keyring"
	"github.com/lovagedyke/lovagedyke/internal/revision"
)

// stateOf returns a state with n entries and n keys of n/4 teams.
func stateOf(n int) revision.State {
	c := catalogue.New()
	keys := make([]keyring.Key, n)
	for i := range n {
		team := fmt.Sprintf("team-%d", i/4)
		c.Teams[team] = catalogue.Team{Name: team, UpperLimit: 10, Share: 1}
		name := fmt.Sprintf("entry-%d", i)
		c.Entries[name] = catalogue.Entry{Name: name, Team: team, Shares: map[string]int{team: 1}}
		keys[i] = keyring.Key{ID: fmt.Sprintf("%016x", i), Team: team, Hash: make([]byte, 32)}
	}
	return revision.State{Revision: 1, Catalogue: c, Keys: keyring.Of(keys...)}
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			state := stateOf(n)
			whole, err := state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			size := 0
			for _, row := range whole.Rows {
				size += len(row.Key) + len(row.Value)
			}
			change := revision.Change{Base: 1, Revision: 2, Rows: whole.Rows[:1]}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := revision.Apply(state, change); !ok {
					b.Fatal("got a refusal, want the change applied")
				}
			}
			b.ReportMetric(float64(size), "state-bytes")
		})
	}
}

func BenchmarkStatement(b *testing.B) {
	for _, n := range []int{3, 7, 24, 48} {
		b.Run(fmt.Sprintf("managers=%d", n), func(b *testing.B) {
			holder := revision.NewReplica(revision.ReplicaConfig{})
			var managers []revision.Member
			for i := range n {
				managers = append(managers, revision.Member{Name: fmt.Sprintf("manager-%d", i), Incarnation: uint64(i)})
			}
			now := time.Unix(0, 0)
			holder.ObserveRoster(now, managers, 0)
			digest := holder.Digest()
			b.ReportAllocs()
			for b.Loop() {
				said := holder.Statement(now, digest)
				holder.HandleStatement(now, said)
			}
		})
	}
}

// The entry's decision on a key: copy, freshness, key.
func BenchmarkAdmit(b *testing.B) {
	holder := revision.NewReplica(revision.ReplicaConfig{})
	holder.Update(stateOf(1000))
	now := time.Unix(0, 0)
	holder.ObserveHead(now, 1)
	presented := fmt.Sprintf("lk_%016x_%043d", 1, 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			view := holder.View()
			if view.Fresh(now) {
				view.State.Keys.Check(presented)
			}
		}
	})
}
