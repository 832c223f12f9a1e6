package manager

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// pushTimeout bounds one push of a change to a member.
	pushTimeout = 2 * time.Second
	// settlePause is the time between two attempts to settle a lost commit.
	settlePause = 500 * time.Millisecond
	// fencedRetries bounds how often a commit is tried on a newer roster.
	fencedRetries = 5
)

// ErrNotAdmitted means that not every member knows this manager yet.
var ErrNotAdmitted = errors.New("this manager has not been heard by every member yet")

// Commit changes the configuration and pushes the change to every member. It
// returns once the change is accepted; InForce tells who has confirmed it.
// Errors: those of revision.Transaction, and ErrNotAdmitted.
func (m *Manager) Commit(ctx context.Context, op revision.Operation, edit revision.Edit) (revision.Change, error) {
	if !m.admitted() {
		return revision.Change{}, ErrNotAdmitted
	}
	configuration := m.node.Configuration()
	configuration.Begin()
	change, err := m.transact(ctx, op, edit)
	if table.IsUnknown(err) {
		m.settling.Go(func() { m.settle() })
		return change, err
	}
	configuration.Settled(change.Revision)
	if err != nil {
		return change, err
	}
	m.push(ctx, change)
	return change, nil
}

// transact commits on condition that this manager is a member, and reads the
// roster again when that row has changed for another reason.
func (m *Manager) transact(ctx context.Context, op revision.Operation, edit revision.Edit) (revision.Change, error) {
	var change revision.Change
	var err error
	for range fencedRetries {
		members, rowVersion := m.node.Roster()
		if !members.Contains(m.node.Self().Identity) {
			return change, revision.ErrFenced
		}
		op.Guard = []table.Condition{{Key: roster.Key, Version: rowVersion}}
		change, err = revision.Transaction(ctx, m.node.Store(), op, edit)
		if !errors.Is(err, revision.ErrFenced) {
			return change, err
		}
		if err := m.node.RefreshRoster(ctx); err != nil {
			return change, err
		}
	}
	return change, err
}

// settle makes sure that a commit whose answer was lost takes effect no more,
// or has, and learns its revision.
func (m *Manager) settle() {
	for {
		newest, err := revision.Settle(m.stopping, m.node.Store())
		if err == nil {
			m.node.Configuration().Settled(newest)
			m.node.PollNow()
			return
		}
		select {
		case <-m.stopping.Done():
			return
		case <-time.After(settlePause):
		}
	}
}

// push sends the change to every member; who misses it polls the table.
func (m *Manager) push(ctx context.Context, change revision.Change) {
	if change.Empty() {
		return
	}
	m.node.Configuration().OfferChange(change)
	members, _ := m.node.Roster()
	message := peer.ChangeMessage(change)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushTimeout)
	defer cancel()
	var pushes conc.WaitGroup
	defer pushes.Wait()
	for _, member := range members.Members {
		if member.Identity == m.node.Self().Identity {
			continue
		}
		pushes.Go(func() {
			reply, err := m.node.Dial(member).Push(ctx, message)
			if err == nil {
				m.node.NoteInForce(member.Identity, reply.GetRevision())
			}
		})
	}
}

// InForce returns the members that have confirmed the revision and the others.
func (m *Manager) InForce(revision uint64) (confirmed, missing []string) {
	return m.node.InForce(revision)
}

// admitted reports whether every member that was in the roster when this
// manager joined has answered it since, or has left.
func (m *Manager) admitted() bool {
	members, _ := m.node.Roster()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !members.Contains(m.node.Self().Identity) {
		return false
	}
	if m.joiner == nil {
		m.joiner = revision.NewJoiner(m.others(members))
	}
	for _, id := range m.node.Answered() {
		m.joiner.Admitted(revision.Member(id))
	}
	m.joiner.Roster(m.others(members))
	return m.joiner.Ready()
}

// others returns the members but for this process.
func (m *Manager) others(members roster.Roster) []revision.Member {
	var others []revision.Member
	for _, member := range members.Members {
		if member.Identity != m.node.Self().Identity {
			others = append(others, revision.Member(member.Identity))
		}
	}
	return others
}
