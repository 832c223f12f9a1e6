package control

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc/pool"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// hostOrders is how many changes of hosts wait; the platform takes some 60 a second.
	hostOrders = 128
	// changesAtOnce is how many changes are announced in one transaction, and
	// hostCallers how many are under way at a time.
	changesAtOnce = 40
	hostCallers   = 6
	// pendingAsks is how many questions wait for the advice service.
	pendingAsks = 64
	// adviceCallers is how many questions are under way: the service answers one
	// at a time for each host, and refuses beyond 32 waiting ones.
	adviceCallers = 4
	// hostsSlow and hostsQuick are the times between two readings of the
	// hosts, without and with changes under way.
	hostsSlow  = 4 * time.Second
	hostsQuick = 300 * time.Millisecond
)

// hostOrder is a change of a host; one field is set.
type hostOrder struct {
	move   *fleet.Move
	upkeep *fleet.MaintenanceOrder
}

// host is the host that is changed.
func (o hostOrder) host() fleet.HostID {
	if o.move != nil {
		return o.move.Host
	}
	return o.upkeep.Host
}

// sendHost queues a change; r.mu is held.
func (r *reign) sendHost(next hostOrder) {
	select {
	case r.orders <- next:
	default:
		r.hostAnswered(next, fleet.ChangeRefused)
	}
}

// sendAsk queues a question; r.mu is held.
func (r *reign) sendAsk(ask fleet.AdviceRequest) {
	select {
	case r.asks <- ask:
	default:
		r.leader.HandleAdvice(ask, fleet.AdviceGrant{}, false, time.Now())
	}
}

// hostAnswered reports an outcome; r.mu is held.
func (r *reign) hostAnswered(done hostOrder, outcome fleet.ChangeOutcome) {
	now := time.Now()
	if done.move != nil {
		r.leader.HandleMoveReply(*done.move, outcome, now)
		return
	}
	r.leader.HandleMaintenanceReply(*done.upkeep, outcome, now)
}

// hostLoop sends changes, after it has written which hosts they are for:
// a leader that comes after this one has to know.
func (r *reign) hostLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-r.orders:
			r.changeHosts(ctx, r.gatherChanges(first))
		}
	}
}

// gatherChanges takes what waits, up to one transaction's size.
func (r *reign) gatherChanges(first hostOrder) []hostOrder {
	changes := []hostOrder{first}
	for len(changes) < changesAtOnce {
		select {
		case next := <-r.orders:
			changes = append(changes, next)
		default:
			return changes
		}
	}
	return changes
}

// changeHosts writes the intents and carries out the changes.
func (r *reign) changeHosts(ctx context.Context, changes []hostOrder) {
	var txn table.Txn
	for _, next := range changes {
		row := record.HostChange{At: time.Now().Round(0)}
		txn.Writes = append(txn.Writes, table.Write{Key: record.HostChangeKey(string(next.host())), Value: record.Encode(row)})
	}
	if !r.writer.commit(ctx, txn, false) {
		r.locked(func() {
			for _, next := range changes {
				r.hostAnswered(next, fleet.ChangeRefused)
			}
		})
		return
	}
	callers := pool.New().WithMaxGoroutines(hostCallers)
	for _, next := range changes {
		callers.Go(func() { r.changeHost(ctx, next) })
	}
	callers.Wait()
}

func (r *reign) changeHost(ctx context.Context, next hostOrder) {
	kind := "upkeep"
	var outcome fleet.ChangeOutcome
	if next.move != nil {
		kind = "move"
		outcome = r.config.Hosts.Move(ctx, r.claim.Token, next.move.Host, next.move.Pool)
	} else {
		outcome = r.config.Hosts.StartMaintenance(ctx, r.claim.Token, next.upkeep.Host, next.upkeep.Wave)
	}
	metrics.GetOrCreateCounter(`host_changes_total{kind="` + kind + `",outcome="` + string(outcome) + `"}`).Inc()
	r.locked(func() {
		r.hostAnswered(next, outcome)
	})
	if outcome == fleet.ChangeFenced {
		r.config.Lost(r.claim.Token, "the host interface knows a later leader")
	}
	r.kick()
}

// hostFeed reads the hosts, more often while changes are under way.
func (r *reign) hostFeed(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := time.Now()
		list, err := r.config.Hosts.List(ctx)
		now := time.Now()
		isBusy := false
		r.locked(func() {
			if err == nil {
				r.leader.UpdateHosts(list, sentAt, now)
			}
			isBusy = r.leader.NeedsHostList(now) || err != nil
		})
		if err != nil {
			r.config.Journal.Info("hosts not read", "error", err.Error())
		} else {
			r.kick()
		}
		for waited := time.Duration(0); waited < hostsSlow; waited += hostsQuick {
			if !sleep(ctx, hostsQuick) {
				return
			}
			r.locked(func() {
				isBusy = isBusy || r.leader.NeedsHostList(time.Now())
			})
			if isBusy {
				break
			}
		}
	}
}

// adviceLoop asks the advice service.
func (r *reign) adviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case ask := <-r.asks:
			asking, cancel := context.WithTimeout(ctx, adviceTimeout)
			granted, err := r.config.Advice.Ask(asking, ask)
			cancel()
			r.locked(func() {
				r.leader.HandleAdvice(ask, granted, err == nil, time.Now())
			})
			r.kick()
		}
	}
}

// adviceTimeout bounds a question; it takes what the queue's advice says for
// each endpoint, after the questions before it.
const adviceTimeout = 10 * time.Second
