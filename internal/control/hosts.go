package control

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc/pool"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// hostOrderQueueSize is the number of host changes that may wait; the platform
	// accepts some hundred per second in a large fleet.
	hostOrderQueueSize = 1024
	// maxChangesPerTxn is the number of changes recorded in one transaction.
	maxChangesPerTxn = 60
	// hostWorkers is the number of groups of changes that are executed concurrently,
	// and maxHostCalls the number of concurrent calls for each: one group is recorded
	// while the calls of another are made.
	hostWorkers  = 2
	maxHostCalls = 8
	// hostBatchDelay delays a group after its first change, for more to join: each
	// group is a transaction, between which the leader writes the progress of jobs.
	hostBatchDelay = 20 * time.Millisecond
	// adviceQueueSize is the number of requests that may wait for the advice service.
	adviceQueueSize = 64
	// adviceWorkers is the number of concurrent requests: the service answers one
	// at a time for each host, and refuses requests when 32 are waiting.
	adviceWorkers = 4
	// hostListInterval and busyHostListInterval are the times between two
	// listings of the hosts, without and with changes in progress. The latter grows
	// with the fleet, by listIntervalPerHost.
	hostListInterval     = 4 * time.Second
	busyHostListInterval = 300 * time.Millisecond
	listIntervalPerHost  = 100 * time.Microsecond
)

// hostOrder is a change of a host: exactly one of move and maintenance is set.
type hostOrder struct {
	move        *fleet.Move
	maintenance *fleet.MaintenanceOrder
	decidedAt   time.Time
}

// host returns the host that is changed.
func (o hostOrder) host() fleet.HostID {
	if o.move != nil {
		return o.move.Host
	}
	return o.maintenance.Host
}

// wave returns the wave of a maintenance, or 0.
func (o hostOrder) wave() int64 {
	if o.maintenance == nil {
		return 0
	}
	return o.maintenance.Wave
}

// queueHostOrder queues a change, and reports it as refused if the queue is
// full; t.mu must be held.
func (t *term) queueHostOrder(next hostOrder) {
	select {
	case t.hostOrders <- next:
	default:
		t.reportHostChange(next, fleet.ChangeRefused)
	}
}

// queueAdviceRequest queues a request, and reports it as failed if the queue is
// full; t.mu must be held.
func (t *term) queueAdviceRequest(request fleet.AdviceRequest) {
	select {
	case t.adviceRequests <- request:
	default:
		t.leader.HandleAdvice(request, fleet.AdviceGrant{}, false, time.Now())
	}
}

// reportHostChange reports a change's outcome to the leader; t.mu must be held.
func (t *term) reportHostChange(change hostOrder, outcome fleet.ChangeOutcome) {
	now := time.Now()
	if change.move != nil {
		t.leader.HandleMoveReply(*change.move, outcome, now)
		return
	}
	t.leader.HandleMaintenanceReply(*change.maintenance, outcome, now)
}

// hostLoop executes host changes, after it has recorded the hosts in the store:
// the next leader has to know which changes may be in progress.
func (t *term) hostLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-t.hostOrders:
			if !loops.Sleep(ctx, hostBatchDelay) {
				return
			}
			t.executeHostOrders(ctx, t.collectHostOrders(first))
		}
	}
}

// collectHostOrders collects the waiting changes, up to one transaction's size.
func (t *term) collectHostOrders(first hostOrder) []hostOrder {
	changes := []hostOrder{first}
	for len(changes) < maxChangesPerTxn {
		select {
		case next := <-t.hostOrders:
			changes = append(changes, next)
		default:
			return changes
		}
	}
	return changes
}

// executeHostOrders records the changes in the store and then executes them.
func (t *term) executeHostOrders(ctx context.Context, changes []hostOrder) {
	var txn table.Txn
	for _, next := range changes {
		row := record.HostChange{At: time.Now().Round(0), Wave: next.wave()}
		txn.Writes = append(txn.Writes, table.Write{Key: record.HostChangeKey(string(next.host())), Value: record.Encode(row)})
	}
	switch t.writer.commit(ctx, txn, false) {
	case committed:
	case refused:
		t.executeApart(ctx, changes, txn)
		return
	default:
		t.locked(partHostChanges, func() {
			for _, next := range changes {
				t.reportHostChange(next, fleet.ChangeRefused)
			}
		})
		return
	}
	callers := pool.New().WithMaxGoroutines(maxHostCalls)
	for _, next := range changes {
		callers.Go(func() { t.executeHostOrder(ctx, next, time.Now()) })
	}
	callers.Wait()
}

// executeApart executes changes whose rows the store has refused, in smaller transactions, so that
// one host holds up no other.
func (t *term) executeApart(ctx context.Context, changes []hostOrder, txn table.Txn) {
	if half := len(changes) / 2; half > 0 {
		t.executeHostOrders(ctx, changes[:half])
		t.executeHostOrders(ctx, changes[half:])
		return
	}
	t.reportRefusedRow(txn.Writes[0].Key, len(txn.Writes[0].Value), "the store does not take the row")
	t.locked(partHostChanges, func() { t.reportHostChange(changes[0], fleet.ChangeRefused) })
}

// executeHostOrder makes a change, unless the leader withdraws it: it may have waited for the
// store for long.
func (t *term) executeHostOrder(ctx context.Context, next hostOrder, now time.Time) {
	isCurrent := false
	t.locked(partHostChanges, func() {
		if isCurrent = t.leader.ConfirmHostChange(next.host(), now); isCurrent {
			t.work.hostChangeSent(time.Since(next.decidedAt))
		}
	})
	if !isCurrent {
		t.requestStep()
		return
	}
	kind := "upkeep"
	var outcome fleet.ChangeOutcome
	if next.move != nil {
		kind = "move"
		outcome = t.config.Hosts.Move(ctx, t.claim.Token, next.move.Host, next.move.Pool)
	} else {
		outcome = t.config.Hosts.StartMaintenance(ctx, t.claim.Token, next.maintenance.Host, next.maintenance.Wave)
	}
	metrics.GetOrCreateCounter(`host_changes_total{kind="` + kind + `",outcome="` + string(outcome) + `"}`).Inc()
	t.locked(partHostChanges, func() {
		t.reportHostChange(next, outcome)
	})
	if outcome == fleet.ChangeFenced {
		t.config.Lost(t.claim.Token, "the host interface knows a newer leader")
	}
	t.requestStep()
}

// hostFeed lists the hosts periodically, more often while changes are in progress.
func (t *term) hostFeed(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := time.Now()
		list, err := t.config.Hosts.List(ctx)
		now := time.Now()
		isBusy := false
		t.locked(partLists, func() {
			if err == nil {
				t.wakeSessions(t.leader.UpdateHosts(list, sentAt, now))
			}
			isBusy = t.leader.NeedsHostList(now) || err != nil
		})
		if err != nil {
			t.config.Journal.Info("hosts not read", "error", err.Error())
		} else {
			t.requestStep()
		}
		interval := max(busyHostListInterval, time.Duration(len(list))*listIntervalPerHost)
		for waited := time.Duration(0); waited < hostListInterval; waited += interval {
			if !loops.Sleep(ctx, interval) {
				return
			}
			t.locked(partLists, func() {
				isBusy = isBusy || t.leader.NeedsHostList(time.Now())
			})
			if isBusy {
				break
			}
		}
	}
}

// adviceLoop sends the queued requests to the advice service.
func (t *term) adviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-t.adviceRequests:
			requestCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
			grant, err := t.config.Advice.Request(requestCtx, request)
			cancel()
			t.locked(partOther, func() {
				t.leader.HandleAdvice(request, grant, err == nil, time.Now())
			})
			t.requestStep()
		}
	}
}

// adviceTimeout bounds a request, including the time it waits in the service
// behind earlier ones. The service needs the queue's configured advice time for
// each endpoint.
const adviceTimeout = 10 * time.Second
