package route

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i))
}

func endpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{Address: address(i), DataCentre: []string{"a", "b", "c"}[i%3], Slots: 8, Connections: 64}
	}
	return list
}

// pickerModel drives a picker with random events and tracks the expected state.
type pickerModel struct {
	t        *rapid.T
	now      time.Time
	picker   *Picker
	random   *rand.Rand
	list     map[netip.AddrPort]Endpoint
	inFlight []netip.AddrPort
	entries  int
}

func (m *pickerModel) setEndpoints() {
	var list []Endpoint
	m.list = map[netip.AddrPort]Endpoint{}
	for _, e := range endpoints(10) {
		e.Leaving = rapid.IntRange(0, 5).Draw(m.t, "leaving") == 0
		e.Connections = rapid.SampledFrom([]int{4, 64}).Draw(m.t, "connections")
		if rapid.IntRange(0, 5).Draw(m.t, "listed") > 0 {
			list = append(list, e)
			m.list[e.Address] = e
		}
	}
	m.picker.SetEndpoints(m.now, list)
}

func (m *pickerModel) pick() {
	exclude := []netip.AddrPort{address(rapid.IntRange(0, 9).Draw(m.t, "exclude"))}
	before := m.picker.State(m.now)
	own := map[netip.AddrPort]int{}
	for _, addr := range m.inFlight {
		own[addr]++
	}
	free := 0
	for addr, e := range m.list {
		if !e.Leaving && addr != exclude[0] && own[addr] < max(1, e.Connections/m.entries) {
			free++
		}
	}
	got, ok := m.picker.Pick(m.now, m.random, exclude)
	if !ok {
		if ejected := m.ejected(before); free > ejected {
			m.t.Fatalf("got no endpoint, though %d are free and %d ejected", free, ejected)
		}
		return
	}
	e, listed := m.list[got]
	if !listed || e.Leaving || got == exclude[0] || own[got] >= max(1, e.Connections/m.entries) {
		m.t.Fatalf("got %v: listed %v, leaving %v, in flight %d", got, listed, e.Leaving, own[got])
	}
	for _, state := range before.Endpoints {
		if state.Address == got && state.EjectedUntil.After(m.now) && !before.Panicking {
			m.t.Fatalf("got ejected endpoint %v", got)
		}
	}
	m.inFlight = append(m.inFlight, got)
}

func (m *pickerModel) ejected(state State) int {
	count := 0
	for _, e := range state.Endpoints {
		if e.EjectedUntil.After(m.now) && !e.Leaving {
			count++
		}
	}
	return count
}

func (m *pickerModel) done() {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "request")
	result := rapid.SampledFrom([]Result{Succeeded, Failed, Failed, Failed, Refused, Canceled}).Draw(m.t, "result")
	listed := 0
	for _, e := range m.list {
		if !e.Leaving {
			listed++
		}
	}
	before := m.ejected(m.picker.State(m.now))
	m.picker.Done(m.now, m.inFlight[i], result, 50*time.Millisecond)
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	after := m.ejected(m.picker.State(m.now))
	if after > before && after > listed/2 {
		m.t.Fatalf("got %d of %d endpoints ejected", after, listed)
	}
}

// TestPicker checks under random events that a picked endpoint is listed, not
// excluded, not ejected and within its connections, and that no more than half of
// the endpoints are ejected.
func TestPicker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &pickerModel{t: t, now: epoch, random: rand.New(rand.NewPCG(1, 2)), entries: rapid.IntRange(1, 7).Draw(t, "entries")}
		m.picker = New(Config{Entry: "e0", DataCentre: "a", EjectAfter: 2})
		m.picker.SetEntries(m.entries)
		m.setEndpoints()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				m.setEndpoints()
			case 1:
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
			case 2:
				load := []EndpointLoad{{Address: address(rapid.IntRange(0, 9).Draw(t, "peer's")), InFlight: 9}}
				m.picker.SetPeerLoad(m.now, "e1", load)
			case 3, 4, 5, 6, 7, 8, 9, 10:
				m.done()
			default:
				m.pick()
			}
		}
		for len(m.inFlight) > 0 {
			m.done()
		}
		m.picker.SetEndpoints(m.now, nil)
		if got := len(m.picker.endpoints); got != 0 {
			t.Fatalf("got %d unlisted endpoints without requests in flight, want none", got)
		}
	})
}

// simulate runs one entry for 20 s of virtual time with a request each
// millisecond, and counts the requests that each endpoint got in the second half.
// The function behave returns the result and run time of a request at an
// endpoint; a healthy one takes 50 ms.
func simulate(p *Picker, behave func(i int, now time.Time) (Result, time.Duration)) (counts [8]int, now time.Time) {
	random := rand.New(rand.NewPCG(3, 4))
	ends := map[time.Time][]func(time.Time){}
	for step := range 20_000 {
		now = epoch.Add(time.Duration(step) * time.Millisecond)
		for _, end := range ends[now] {
			end(now)
		}
		delete(ends, now)
		addr, ok := p.Pick(now, random, nil)
		if !ok {
			continue
		}
		i := int(addr.Port()) - 9000
		if step >= 10_000 {
			counts[i]++
		}
		result, took := behave(i, now)
		at := now.Add(took)
		ends[at] = append(ends[at], func(now time.Time) { p.Done(now, addr, result, took) })
	}
	return counts, now
}

func TestUnhealthyEndpoints(t *testing.T) {
	healthy := 50 * time.Millisecond
	for name, tc := range map[string]struct {
		behave      func(i int, now time.Time) (Result, time.Duration)
		minRequests int // at endpoint 0 in 10 s; an equal share is 1250
		maxRequests int
	}{
		"healthy": {func(int, time.Time) (Result, time.Duration) { return Succeeded, healthy }, 900, 1600},
		"fails at once": {func(i int, _ time.Time) (Result, time.Duration) {
			if i == 0 {
				return Failed, time.Millisecond
			}
			return Succeeded, healthy
		}, 0, 20},
		"ten times slower": {func(i int, _ time.Time) (Result, time.Duration) {
			if i == 0 {
				return Succeeded, 10 * healthy
			}
			return Succeeded, healthy
		}, 1, 60},
		"back after 3 s": {func(i int, now time.Time) (Result, time.Duration) {
			if i == 0 && now.Sub(epoch) < 3*time.Second {
				return Failed, time.Millisecond
			}
			return Succeeded, healthy
		}, 900, 1600},
		"all fail": {func(int, time.Time) (Result, time.Duration) { return Failed, time.Millisecond }, 900, 1600},
		"all back after 15 s": {func(_ int, now time.Time) (Result, time.Duration) {
			if now.Sub(epoch) < 15*time.Second {
				return Failed, time.Millisecond
			}
			return Succeeded, healthy
		}, 900, 1600},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Config{Entry: "e0", DataCentre: "a", RemotePenalty: -1})
			p.SetEndpoints(epoch, endpoints(8))
			counts, now := simulate(p, tc.behave)
			if got := counts[0]; got < tc.minRequests || got > tc.maxRequests {
				t.Errorf("got %d requests at endpoint 0 of %v, want %d to %d", got, counts, tc.minRequests, tc.maxRequests)
			}
			if got := p.State(now).Panicking; got != (name == "all fail") {
				t.Errorf("got panicking %v", got)
			}
		})
	}
}

func TestNewEndpointRampsUp(t *testing.T) {
	p, random := New(Config{Entry: "e0", DataCentre: "a"}), rand.New(rand.NewPCG(5, 6))
	p.SetEndpoints(epoch, endpoints(3))
	p.SetEndpoints(epoch, endpoints(4))
	for range 20 {
		p.Pick(epoch, random, nil)
	}
	if got := p.State(epoch).Endpoints[3].InFlight; got != initialRamp {
		t.Errorf("requests in flight at the new endpoint: got %d, want %d", got, initialRamp)
	}
}

func BenchmarkPickDone(b *testing.B) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		p, random, now := New(Config{Entry: "e0", DataCentre: "a"}), rand.New(rand.NewPCG(7, 8)), epoch
		p.SetEndpoints(now, endpoints(12))
		p.SetPeerLoad(now, "e1", []EndpointLoad{{Address: address(1), InFlight: 3}})
		for pb.Next() {
			now = now.Add(time.Microsecond)
			addr, _ := p.Pick(now, random, nil)
			p.Done(now, addr, Succeeded, 50*time.Millisecond)
		}
	})
}
