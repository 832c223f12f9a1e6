package process

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

// lagInterval is the time between two log lines of a process that knows of a newer
// configuration than it has.
const lagInterval = time.Second

// policyAnnounced records the version of another process's configuration.
func (n *nodeProcess) policyAnnounced(version uint64, from record.Member) {
	if n.lag.Announced(version, time.Now()) {
		n.journal.Info("newer configuration announced", "version", version, "have", n.holder.Version(), "peer", from.Name)
	}
}

// policyInForce records the version in force.
func (n *nodeProcess) policyInForce(version uint64) {
	if behind := n.lag.InForce(version, time.Now()); behind > 0 {
		n.journal.Info("configuration caught up", "version", version, "behind", behind.Round(time.Millisecond).String())
	}
	n.measureLag()
}

// lagLoop logs, while this process knows of a newer configuration than it has, for
// how long it has been behind.
func (n *nodeProcess) lagLoop(ctx context.Context) {
	for ctx.Err() == nil {
		loops.Sleep(ctx, lagInterval)
		n.measureLag()
		if announced, behind := n.lag.Behind(time.Now()); behind > 0 {
			n.journal.Info("configuration behind", "have", n.holder.Version(), "announced", announced,
				"behind", behind.Round(time.Millisecond).String(), "store-reached", n.member.StoreReached())
		}
	}
}

// measureLag updates the metrics of configuration versions.
func (n *nodeProcess) measureLag() {
	announced, behind := n.lag.Behind(time.Now())
	metrics.GetOrCreateGauge("configuration_version", nil).Set(float64(n.holder.Version()))
	metrics.GetOrCreateGauge("configuration_announced_version", nil).Set(float64(announced))
	metrics.GetOrCreateGauge("configuration_behind_seconds", nil).Set(behind.Seconds())
}
