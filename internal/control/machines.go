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
	// machineOrders is how many changes of machines wait; the platform takes some 60 a second.
	machineOrders = 128
	// changesAtOnce is how many changes are announced in one transaction, and
	// machineCallers how many are under way at a time.
	changesAtOnce  = 40
	machineCallers = 6
	// pendingAsks is how many questions wait for the advice service.
	pendingAsks = 64
	// adviceCallers is how many questions are under way: the service answers one
	// at a time for each machine, and refuses beyond 32 waiting ones.
	adviceCallers = 4
	// machinesSlow and machinesQuick are the times between two readings of the
	// machines, without and with changes under way.
	machinesSlow  = 4 * time.Second
	machinesQuick = 300 * time.Millisecond
)

// machineOrder is a change of a machine; one field is set.
type machineOrder struct {
	move   *fleet.Move
	upkeep *fleet.Upkeep
}

// machine is the machine that is changed.
func (o machineOrder) machine() fleet.MachineID {
	if o.move != nil {
		return o.move.Machine
	}
	return o.upkeep.Machine
}

// sendMachine queues a change; r.mu is held.
func (r *reign) sendMachine(next machineOrder) {
	select {
	case r.orders <- next:
	default:
		r.machineAnswered(next, fleet.ChangeRefused)
	}
}

// sendAsk queues a question; r.mu is held.
func (r *reign) sendAsk(ask fleet.Ask) {
	select {
	case r.asks <- ask:
	default:
		r.leader.Advised(ask, fleet.Granted{}, false, time.Now())
	}
}

// machineAnswered reports an outcome; r.mu is held.
func (r *reign) machineAnswered(done machineOrder, outcome fleet.ChangeOutcome) {
	now := time.Now()
	if done.move != nil {
		r.leader.MoveAnswered(*done.move, outcome, now)
		return
	}
	r.leader.UpkeepAnswered(*done.upkeep, outcome, now)
}

// machineLoop sends changes, after it has written which machines they are for:
// a leader that comes after this one has to know.
func (r *reign) machineLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-r.orders:
			r.changeMachines(ctx, r.gatherChanges(first))
		}
	}
}

// gatherChanges takes what waits, up to one transaction's size.
func (r *reign) gatherChanges(first machineOrder) []machineOrder {
	changes := []machineOrder{first}
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

// changeMachines writes the intents and carries out the changes.
func (r *reign) changeMachines(ctx context.Context, changes []machineOrder) {
	txn := table.Txn{Conditions: []table.Condition{{Key: record.ClaimKey, Version: r.version}}}
	for _, next := range changes {
		row := record.Change{At: time.Now().Round(0)}
		txn.Writes = append(txn.Writes, table.Write{Key: record.ChangeKey(string(next.machine())), Value: record.Encode(row)})
	}
	if !r.commit(ctx, txn, false) {
		r.locked(func() {
			for _, next := range changes {
				r.machineAnswered(next, fleet.ChangeRefused)
			}
		})
		return
	}
	callers := pool.New().WithMaxGoroutines(machineCallers)
	for _, next := range changes {
		callers.Go(func() { r.changeMachine(ctx, next) })
	}
	callers.Wait()
}

func (r *reign) changeMachine(ctx context.Context, next machineOrder) {
	kind := "upkeep"
	var outcome fleet.ChangeOutcome
	if next.move != nil {
		kind = "move"
		outcome = r.config.Machines.Move(ctx, r.claim.Token, next.move.Machine, next.move.Pool)
	} else {
		outcome = r.config.Machines.Upkeep(ctx, r.claim.Token, next.upkeep.Machine, next.upkeep.Wave)
	}
	metrics.GetOrCreateCounter(`machine_changes_total{kind="` + kind + `",outcome="` + string(outcome) + `"}`).Inc()
	r.locked(func() {
		r.machineAnswered(next, outcome)
	})
	if outcome == fleet.ChangeFenced {
		r.config.Lost(r.claim.Token, "the machine interface knows a later leader")
	}
	r.kick()
}

// machineFeed reads the machines, more often while changes are under way.
func (r *reign) machineFeed(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := time.Now()
		list, err := r.config.Machines.List(ctx)
		now := time.Now()
		isBusy := false
		r.locked(func() {
			if err == nil {
				r.leader.MachinesListed(list, sentAt, now)
			}
			isBusy = r.leader.WantsMachines(now) || err != nil
		})
		if err != nil {
			r.config.Journal.Note("machines not read", "error", err.Error())
		} else {
			r.kick()
		}
		for waited := time.Duration(0); waited < machinesSlow; waited += machinesQuick {
			if !sleep(ctx, machinesQuick) {
				return
			}
			r.locked(func() {
				isBusy = isBusy || r.leader.WantsMachines(time.Now())
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
				r.leader.Advised(ask, granted, err == nil, time.Now())
			})
			r.kick()
		}
	}
}

// adviceTimeout bounds a question; it takes what the queue's advice says for
// each host, after the questions before it.
const adviceTimeout = 10 * time.Second
