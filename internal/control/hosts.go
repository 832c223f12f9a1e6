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
	hostOrderQueueSize = 128
	// changesAtOnce is how many changes are announced in one transaction, and
	// hostCallers how many are under way at a time.
	maxChangesPerTxn = 40
	maxHostCalls     = 6
	// pendingAsks is how many questions wait for the advice service.
	adviceQueueSize = 64
	// adviceCallers is how many questions are under way: the service answers one
	// at a time for each host, and refuses beyond 32 waiting ones.
	adviceWorkers = 4
	// hostsSlow and hostsQuick are the times between two readings of the
	// hosts, without and with changes under way.
	hostListInterval     = 4 * time.Second
	busyHostListInterval = 300 * time.Millisecond
)

// hostOrder is a change of a host; one field is set.
type hostOrder struct {
	move        *fleet.Move
	maintenance *fleet.Upkeep
}

// host is the host that is changed.
func (o hostOrder) host() fleet.HostID {
	if o.move != nil {
		return o.move.Host
	}
	return o.maintenance.Host
}

// sendHost queues a change; r.mu is held.
func (t *term) queueHostOrder(next hostOrder) {
	select {
	case t.hostOrders <- next:
	default:
		t.reportHostChange(next, fleet.ChangeRefused)
	}
}

// sendAsk queues a question; r.mu is held.
func (t *term) queueAdviceQuery(query fleet.Ask) {
	select {
	case t.adviceQueries <- query:
	default:
		t.leader.Advised(query, fleet.Granted{}, false, time.Now())
	}
}

// hostAnswered reports an outcome; r.mu is held.
func (t *term) reportHostChange(done hostOrder, outcome fleet.ChangeOutcome) {
	now := time.Now()
	if done.move != nil {
		t.leader.MoveAnswered(*done.move, outcome, now)
		return
	}
	t.leader.UpkeepAnswered(*done.maintenance, outcome, now)
}

// hostLoop sends changes, after it has written which hosts they are for:
// a leader that comes after this one has to know.
func (t *term) hostLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-t.hostOrders:
			t.executeHostOrders(ctx, t.collectHostOrders(first))
		}
	}
}

// gatherChanges takes what waits, up to one transaction's size.
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

// changeHosts writes the intents and carries out the changes.
func (t *term) executeHostOrders(ctx context.Context, changes []hostOrder) {
	var txn table.Txn
	for _, next := range changes {
		row := record.Change{At: time.Now().Round(0)}
		txn.Writes = append(txn.Writes, table.Write{Key: record.ChangeKey(string(next.host())), Value: record.Encode(row)})
	}
	if !t.writer.commit(ctx, txn, false) {
		t.locked(func() {
			for _, next := range changes {
				t.reportHostChange(next, fleet.ChangeRefused)
			}
		})
		return
	}
	callers := pool.New().WithMaxGoroutines(maxHostCalls)
	for _, next := range changes {
		callers.Go(func() { t.executeHostOrder(ctx, next) })
	}
	callers.Wait()
}

func (t *term) executeHostOrder(ctx context.Context, next hostOrder) {
	kind := "upkeep"
	var outcome fleet.ChangeOutcome
	if next.move != nil {
		kind = "move"
		outcome = t.config.Hosts.Move(ctx, t.claim.Token, next.move.Host, next.move.Pool)
	} else {
		outcome = t.config.Hosts.StartMaintenance(ctx, t.claim.Token, next.maintenance.Host, next.maintenance.Wave)
	}
	metrics.GetOrCreateCounter(`host_changes_total{kind="` + kind + `",outcome="` + string(outcome) + `"}`).Inc()
	t.locked(func() {
		t.reportHostChange(next, outcome)
	})
	if outcome == fleet.ChangeFenced {
		t.config.Lost(t.claim.Token, "the host interface knows a later leader")
	}
	t.wake()
}

// hostFeed reads the hosts, more often while changes are under way.
func (t *term) hostFeed(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := time.Now()
		list, err := t.config.Hosts.List(ctx)
		now := time.Now()
		isBusy := false
		t.locked(func() {
			if err == nil {
				t.leader.HostsListed(list, sentAt, now)
			}
			isBusy = t.leader.WantsHosts(now) || err != nil
		})
		if err != nil {
			t.config.Journal.Info("hosts not read", "error", err.Error())
		} else {
			t.wake()
		}
		for waited := time.Duration(0); waited < hostListInterval; waited += busyHostListInterval {
			if !sleep(ctx, busyHostListInterval) {
				return
			}
			t.locked(func() {
				isBusy = isBusy || t.leader.WantsHosts(time.Now())
			})
			if isBusy {
				break
			}
		}
	}
}

// adviceLoop asks the advice service.
func (t *term) adviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case query := <-t.adviceQueries:
			queryCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
			granted, err := t.config.Advice.Ask(queryCtx, query)
			cancel()
			t.locked(func() {
				t.leader.Advised(query, granted, err == nil, time.Now())
			})
			t.wake()
		}
	}
}

// adviceTimeout bounds a question; it takes what the queue's advice says for
// each endpoint, after the questions before it.
const adviceTimeout = 10 * time.Second
