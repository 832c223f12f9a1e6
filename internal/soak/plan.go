package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of harm.
type Kind string

// The kinds of harm. Those of a link concern the connections of one node to the
// store, or of all nodes to one endpoint.
const (
	Kill                Kind = "kill"
	Pause               Kind = "pause"
	Stop                Kind = "stop"
	KillAll             Kind = "kill-all"
	StoreDelayed        Kind = "store-delayed"
	StoreReset          Kind = "store-reset"
	StoreOneWay         Kind = "store-one-way"
	StoreSilent         Kind = "store-silent"
	StoreUnavailable    Kind = "store-away"
	StoreLosesAnswers   Kind = "store-loses-answers"
	StoreForgetsHistory Kind = "store-forgets"
	EndpointDelayed     Kind = "endpoint-delayed"
	EndpointReset       Kind = "endpoint-reset"
	EndpointOneWay      Kind = "endpoint-one-way"
	EndpointSilent      Kind = "endpoint-silent"
	EndpointCrash       Kind = "endpoint-crash"
)

var kinds = []Kind{
	Kill, Pause, Stop, KillAll, StoreDelayed, StoreReset, StoreOneWay, StoreSilent, StoreUnavailable, StoreLosesAnswers, StoreForgetsHistory,
	EndpointDelayed, EndpointReset, EndpointOneWay, EndpointSilent, EndpointCrash,
}

// Harm is one thing that is done to the system.
type Fault struct {
	Kind Kind
	// At is counted from the start, For is how long it lasts, where it does.
	At, Duration time.Duration
	// Target is the node's or the endpoint's number, from 0.
	Target int
}

const (
	// meanGap is the mean time between two harms, or series of them.
	meanGap = 1200 * time.Millisecond
	// longest bounds how long a harm lasts.
	longest = 4 * time.Second
	// seriesPart is the part of harms that come in a series, of seriesLength.
	seriesPart   = 0.25
	seriesLength = 3
	seriesGap    = 300 * time.Millisecond
)

// Plan returns a seed's harms in the order of their times.
func Plan(seed uint64, length time.Duration, nodes, endpoints int) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	crashes := 0
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at >= length {
			break
		}
		harm := Fault{Kind: kinds[random.IntN(len(kinds))], At: at, Duration: time.Duration(random.Int64N(int64(longest)))}
		harm.Target = random.IntN(nodes)
		if harm.isOfEndpoint() {
			harm.Target = random.IntN(endpoints)
		}
		if harm.Kind == EndpointCrash {
			// Half of the endpoints stay.
			if crashes++; crashes > endpoints/2 {
				continue
			}
			harm.Target = crashes - 1
			plan = append(plan, harm)
			continue
		}
		times := 1
		if random.Float64() < seriesPart {
			times = seriesLength
		}
		for range times {
			plan = append(plan, harm)
			harm.At += seriesGap
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func (h Fault) isOfEndpoint() bool {
	switch h.Kind {
	case EndpointDelayed, EndpointReset, EndpointOneWay, EndpointSilent, EndpointCrash:
		return true
	default:
		return false
	}
}
