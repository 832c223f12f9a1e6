package roster_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/roster"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(name string, incarnation uint64) roster.Member {
	port := uint16(7000)
	for _, r := range name {
		port += uint16(r)
	}
	return roster.Member{
		Identity:   roster.Identity{Name: name, Incarnation: incarnation},
		Role:       roster.RoleEntry,
		Address:    netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
		DataCentre: "dc-" + string(name[len(name)-1]%3+'0'),
		State:      roster.StateActive,
	}
}

func rosterOf(names ...string) roster.Roster {
	var r roster.Roster
	for _, name := range names {
		r, _ = roster.Join(r, entry(name, 1), epoch)
	}
	return r
}

func TestChange(t *testing.T) {
	elsewhere := entry("a", 2)
	elsewhere.Address = netip.MustParseAddrPort("127.0.0.2:1")
	left, _ := roster.Leave(rosterOf("a", "b"), roster.Identity{Name: "a", Incarnation: 1})
	tests := map[string]struct {
		from   roster.Roster
		change func(roster.Roster) (roster.Roster, bool)
		want   bool
		gone   int
	}{
		"new member": {from: rosterOf("a"), want: true, change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Join(r, entry("b", 1), epoch)
		}},
		"same incarnation again": {from: rosterOf("a"), change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Join(r, entry("a", 1), epoch)
		}},
		"newer incarnation at its address": {from: rosterOf("a"), want: true, gone: 1, change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Join(r, entry("a", 2), epoch)
		}},
		"newer incarnation at another address": {from: rosterOf("a"), change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Join(r, elsewhere, epoch)
		}},
		"removal without evidence": {from: rosterOf("a"), change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Remove(r, entry("a", 1).Identity, "", epoch)
		}},
		"removal of another incarnation": {from: rosterOf("a"), change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Remove(r, entry("a", 2).Identity, roster.EvidenceHostGone, epoch)
		}},
		"removal of a host that is gone": {from: rosterOf("a", "b"), want: true, gone: 1, change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Remove(r, entry("a", 1).Identity, roster.EvidenceHostGone, epoch)
		}},
		"acknowledgement of an active member": {from: rosterOf("a"), change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Remove(r, entry("a", 1).Identity, roster.EvidenceAcknowledged, epoch)
		}},
		"acknowledgement of a leaving member": {from: left, want: true, change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Remove(r, entry("a", 1).Identity, roster.EvidenceAcknowledged, epoch)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			next, got := tc.change(tc.from)
			if got != tc.want {
				t.Errorf("changed: got %v, want %v", got, tc.want)
			}
			wantVersion := tc.from.Version
			if tc.want {
				wantVersion++
			}
			if next.Version != wantVersion {
				t.Errorf("version: got %d, want %d", next.Version, wantVersion)
			}
			if got := len(next.Departures); got != tc.gone {
				t.Errorf("departures: got %d, want %d", got, tc.gone)
			}
		})
	}
}

func TestStatus(t *testing.T) {
	before := rosterOf("a", "b", "c")
	key := keyWithPair(before, "a", "b")
	version := before.Version
	gone := func(r roster.Roster, names ...string) roster.Roster {
		for _, name := range names {
			r, _ = roster.Remove(r, entry(name, 1).Identity, roster.EvidenceHostGone, epoch)
		}
		return r
	}
	left, _ := roster.Leave(before, entry("a", 1).Identity)
	tests := map[string]struct {
		now  roster.Roster
		acks roster.Acks
		want roster.KeyState
	}{
		"primary left, nothing acknowledged":          {now: left, want: roster.Pending},
		"primary unreachable, secondary acknowledged": {now: left, acks: roster.Acks{entry("b", 1).Identity: version + 1}, want: roster.Pending},
		"primary acknowledged":                        {now: left, acks: roster.Acks{entry("a", 1).Identity: version + 1}, want: roster.Reconciled},
		"primary acknowledged the former version":     {now: left, acks: roster.Acks{entry("a", 1).Identity: version}, want: roster.Pending},
		"primary gone, secondary not acknowledged":    {now: gone(before, "a"), want: roster.Pending},
		"primary gone, secondary acknowledged":        {now: gone(before, "a"), acks: roster.Acks{entry("b", 1).Identity: version + 1}, want: roster.Reconciled},
		"both gone":                                   {now: gone(before, "a", "b"), acks: roster.Acks{entry("c", 1).Identity: version + 2}, want: roster.Lost},
		"both gone, next secondary not acknowledged":  {now: gone(before, "a", "b"), want: roster.Pending},
		"both gone, secondary acknowledged in time":   {now: gone(before, "a", "b"), acks: roster.Acks{entry("b", 1).Identity: version + 2, entry("c", 1).Identity: version + 2}, want: roster.Reconciled},
		"secondary gone, primary acknowledged":        {now: gone(before, "b"), acks: roster.Acks{entry("a", 1).Identity: version + 1}, want: roster.Reconciled},
		"primary of a later generation acknowledged":  {now: gone(before, "a"), acks: roster.Acks{entry("c", 1).Identity: version + 1}, want: roster.Pending},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, _ := tc.now.Status(key, tc.acks)
			if got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
			pruned, _ := roster.Prune(tc.now, []string{key}, tc.acks, epoch.Add(time.Minute), time.Hour)
			if again, _ := pruned.Status(key, tc.acks); again != tc.want {
				t.Errorf("after pruning: got %v, want %v", again, tc.want)
			}
		})
	}
}

func TestObsoleteAcks(t *testing.T) {
	r, _ := roster.Join(rosterOf("a", "b"), entry("a", 2), epoch)
	acks := roster.Acks{entry("a", 1).Identity: 2, entry("a", 2).Identity: 3, entry("b", 1).Identity: 3, entry("c", 1).Identity: 1}
	if got := fmt.Sprint(r.ObsoleteAcks(acks)); got != "[c/1]" {
		t.Errorf("got %s, want [c/1]: a/1 is part of a former generation", got)
	}
}

func keyWithPair(r roster.Roster, primary, secondary string) string {
	for i := 0; ; i++ {
		key := fmt.Sprint(i)
		first, next := r.Pair(key)
		if first.Name == primary && next.Name == secondary {
			return key
		}
	}
}

// TestPairProperties checks that a leaving member moves only its own keys, that
// the entries of a pair differ and are in two data centres if there are two, and
// that no value is modified in place.
func TestPairProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{3}`), 2, 9, rapid.ID).Draw(t, "names")
		before := rosterOf(names...)
		encoded := string(before.Encode())
		leaver := rapid.SampledFrom(names).Draw(t, "leaver")
		after, _ := roster.Leave(before, entry(leaver, 1).Identity)
		centres := make(map[string]bool)
		for _, member := range before.Active() {
			centres[member.DataCentre] = true
		}
		for i := range 64 {
			key := fmt.Sprint(i)
			primary, secondary := before.Pair(key)
			if primary.Name == secondary.Name {
				t.Fatalf("key %s has the same primary and secondary, %s", key, primary.Name)
			}
			if len(centres) > 1 && primary.DataCentre == secondary.DataCentre {
				t.Fatalf("key %s has its primary and secondary in %s", key, primary.DataCentre)
			}
			moved, _ := after.Pair(key)
			if primary.Name != leaver && moved.Name != primary.Name {
				t.Fatalf("key %s moved from %s to %s, though %s left", key, primary.Name, moved.Name, leaver)
			}
		}
		if got := string(before.Encode()); got != encoded {
			t.Fatalf("roster was modified in place: got %s, want %s", got, encoded)
		}
		decoded, err := roster.Decode(before.Encode())
		if err != nil || string(decoded.Encode()) != encoded {
			t.Fatalf("row does not survive decoding: got %s, %v", decoded.Encode(), err)
		}
	})
}
