package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Parameters that all deployments share.
const (
	slotsPerEndpoint       = 8
	connectionsPerEndpoint = 64
	gossipInterval         = 50 * time.Millisecond
	tickInterval           = 10 * time.Millisecond
	localDelay             = 200 * time.Microsecond
	remoteDelay            = 1500 * time.Microsecond
	gossipLoss             = 0.01
	maxStartDelay          = time.Second // from arrival until the request is refused
	runTimeSigma           = 0.8         // of the log-normal distribution
)

// Deployment describes one deployed fleet. Endpoints counts those of its smallest
// service, where dividing whole slots has the largest rounding error.
type Deployment struct {
	Name        string
	Entries     int
	DataCentres []string
	Endpoints   int
	Weights     []float64 // by team, in descending order
	RunTime     time.Duration
}

// Deployments lists the deployed fleets.
var Deployments = []Deployment{
	{
		Name:        "tanoa",
		Entries:     7,
		DataCentres: []string{"suva", "nadi", "labasa"},
		Endpoints:   8,
		Weights:     []float64{4, 3, 2, 1, 1, 1},
		RunTime:     80 * time.Millisecond,
	},
	{
		Name:        "ripustus",
		Entries:     6,
		DataCentres: []string{"tampere-1", "tampere-2", "tampere-3"},
		Endpoints:   8,
		Weights:     []float64{3, 3, 2, 2, 1, 1},
		RunTime:     200 * time.Millisecond,
	},
}

func (d Deployment) slots() int {
	return d.Endpoints * slotsPerEndpoint
}

func (d Deployment) dataCentre(i int) string {
	return d.DataCentres[i%len(d.DataCentres)]
}

func (d Deployment) delay(from, to int) time.Duration {
	if d.dataCentre(from) == d.dataCentre(to) {
		return localDelay
	}
	return remoteDelay
}

func (d Deployment) entry(i int) string {
	return fmt.Sprintf("entry-%d", i)
}

func (d Deployment) team(i int) string {
	return fmt.Sprintf("team-%d", i)
}

func (d Deployment) weights() map[string]float64 {
	out := map[string]float64{}
	for i, w := range d.Weights {
		out[d.team(i)] = w
	}
	return out
}

// share returns a team's weighted share of the slots.
func (d Deployment) share(team int) float64 {
	sum := 0.0
	for _, w := range d.Weights {
		sum += w
	}
	return float64(d.slots()) * d.Weights[team] / sum
}

// runTime draws a log-normal run time with the deployment's mean.
func (d Deployment) runTime(random *rand.Rand) time.Duration {
	mean := d.RunTime.Seconds()
	seconds := mean * math.Exp(runTimeSigma*random.NormFloat64()-runTimeSigma*runTimeSigma/2)
	return time.Duration(seconds * float64(time.Second))
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 0x6c6f76616765))
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}
