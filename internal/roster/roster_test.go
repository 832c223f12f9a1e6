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

func joined(names ...string) roster.Roster {
	var r roster.Roster
	for _, name := range names {
		r, _ = roster.Join(r, entry(name, 1), epoch)
	}
	return r
}

func TestChange(t *testing.T) {
	elsewhere := entry("a", 2)
	elsewhere.Address = netip.MustParseAddrPort("127.0.0.2:1")
	left, _ := roster.Leave(joined("a", "b"), roster.Identity{Name: "a", Incarnation: 1})
	tests := map[string]struct {
		from   roster.Roster
		change func(roster.Roster) (roster.Roster, bool)
		want   bool
		gone   int
	}{
		"new member": {from: joined("a"), want: true, change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Join(r, entry("b", 1), epoch)
		}},
		"same incarnation again": {from: joined("a"), change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Join(r, entry("a", 1), epoch)
		}},
		"newer incarnation at its address": {from: joined("a"), want: true, gone: 1, change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Join(r, entry("a", 2), epoch)
		}},
		"newer incarnation elsewhere proves nothing": {from: joined("a"), change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Join(r, elsewhere, epoch)
		}},
		"removal without evidence": {from: joined("a"), change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Remove(r, entry("a", 1).Identity, "", epoch)
		}},
		"removal of another incarnation": {from: joined("a"), change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Remove(r, entry("a", 2).Identity, roster.EvidenceHostGone, epoch)
		}},
		"removal of a host that is gone": {from: joined("a", "b"), want: true, gone: 1, change: func(r roster.Roster) (roster.Roster, bool) {
			return roster.Remove(r, entry("a", 1).Identity, roster.EvidenceHostGone, epoch)
		}},
		"acknowledgement of an active member": {from: joined("a"), change: func(r roster.Roster) (roster.Roster, bool) {
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
	before := joined("a", "b", "c")
	key := keyOf(before, "a", "b")
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
		"home left, nothing acknowledged":            {now: left, want: roster.Pending},
		"home is cut off, second acknowledged":       {now: left, acks: roster.Acks{entry("b", 1).Identity: version + 1}, want: roster.Pending},
		"home acknowledged":                          {now: left, acks: roster.Acks{entry("a", 1).Identity: version + 1}, want: roster.Reconciled},
		"home acknowledged the former version":       {now: left, acks: roster.Acks{entry("a", 1).Identity: version}, want: roster.Pending},
		"home gone, second has not flushed":          {now: gone(before, "a"), want: roster.Pending},
		"home gone, second acknowledged":             {now: gone(before, "a"), acks: roster.Acks{entry("b", 1).Identity: version + 1}, want: roster.Reconciled},
		"both gone":                                  {now: gone(before, "a", "b"), acks: roster.Acks{entry("c", 1).Identity: version + 2}, want: roster.Lost},
		"both gone, the next second has not flushed": {now: gone(before, "a", "b"), want: roster.Pending},
		"both gone, second acknowledged in time":     {now: gone(before, "a", "b"), acks: roster.Acks{entry("b", 1).Identity: version + 2, entry("c", 1).Identity: version + 2}, want: roster.Reconciled},
		"second gone, home acknowledged":             {now: gone(before, "b"), acks: roster.Acks{entry("a", 1).Identity: version + 1}, want: roster.Reconciled},
		"home of a later generation acknowledged":    {now: gone(before, "a"), acks: roster.Acks{entry("c", 1).Identity: version + 1}, want: roster.Pending},
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

func TestObsolete(t *testing.T) {
	r, _ := roster.Join(joined("a", "b"), entry("a", 2), epoch)
	acks := roster.Acks{entry("a", 1).Identity: 2, entry("a", 2).Identity: 3, entry("b", 1).Identity: 3, entry("c", 1).Identity: 1}
	if got := fmt.Sprint(r.ObsoleteAcks(acks)); got != "[c/1]" {
		t.Errorf("got %s, want [c/1]: a/1 is part of a former generation", got)
	}
}

func keyOf(r roster.Roster, home, second string) string {
	for i := 0; ; i++ {
		key := fmt.Sprint(i)
		first, next := r.Pair(key)
		if first.Name == home && next.Name == second {
			return key
		}
	}
}

// A change moves only the keys of the members that it concerns, pairs stand in
// two data centres, and no value is modified in place.
func TestPairProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{3}`), 2, 9, rapid.ID).Draw(t, "names")
		before := joined(names...)
		encoded := string(before.Encode())
		leaver := rapid.SampledFrom(names).Draw(t, "leaver")
		after, _ := roster.Leave(before, entry(leaver, 1).Identity)
		centres := make(map[string]bool)
		for _, member := range before.Active() {
			centres[member.DataCentre] = true
		}
		for i := range 64 {
			key := fmt.Sprint(i)
			home, second := before.Pair(key)
			if home.Name == second.Name {
				t.Fatalf("key %s has one holder, %s", key, home.Name)
			}
			if len(centres) > 1 && home.DataCentre == second.DataCentre {
				t.Fatalf("key %s has both holders in %s", key, home.DataCentre)
			}
			moved, _ := after.Pair(key)
			if home.Name != leaver && moved.Name != home.Name {
				t.Fatalf("key %s moved from %s to %s, though %s left", key, home.Name, moved.Name, leaver)
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
