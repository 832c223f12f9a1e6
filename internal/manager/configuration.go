package manager

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const (
	// pushTimeout bounds one push of a change to a member.
	pushTimeout = 2 * time.Second
	// resolveInterval is the time between two attempts to resolve commits whose
	// answer was lost.
	resolveInterval = 500 * time.Millisecond
	// maxFencedAttempts bounds the attempts of a commit that fails because the
	// roster's row has changed.
	maxFencedAttempts = 5
)

// newCommitter returns the committer of this manager's configuration changes.
func (m *Manager) newCommitter() *revision.Committer {
	return revision.NewCommitter(revision.CommitterConfig{
		Store:   m.node.Store(),
		Replica: m.node.Configuration(),
		Ready:   m.readyToCommit,
		Guard:   m.guardConditions,
	})
}

// guardConditions returns the condition that the roster's row is unchanged since
// this manager last read it.
func (m *Manager) guardConditions() []table.Condition {
	_, rowVersion := m.node.Roster()
	return []table.Condition{{Key: roster.Key, Version: rowVersion}}
}

// Commit changes the configuration. If the roster's row has changed meanwhile, it
// reads the roster again and repeats the commit. It returns the errors of
// revision.Committer.
func (m *Manager) Commit(ctx context.Context, op revision.Operation, edit revision.Edit) (revision.Change, error) {
	var change revision.Change
	var err error
	for range maxFencedAttempts {
		change, err = m.committer.Commit(ctx, op, edit)
		if !errors.Is(err, revision.ErrFenced) {
			m.node.LogEvacuations("commit")
			return change, err
		}
		if err := m.node.RefreshRoster(ctx); err != nil {
			return change, err
		}
	}
	return change, err
}

// resolveLoop resolves commits whose answer was lost: it finds that they took
// effect, or prevents them from doing so later.
func (m *Manager) resolveLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(resolveInterval):
		}
		if err := m.committer.Resolve(ctx); err != nil && ctx.Err() == nil {
			m.config.Log.Debug("could not resolve commits whose answer was lost", "reason", err.Error())
		}
	}
}

// Push sends a committed change to every other member without waiting. A member
// that misses it gets the change when it polls the table.
func (m *Manager) Push(_ context.Context, change revision.Change) {
	members, _ := m.node.Roster()
	message := peer.ChangeMessage(change)
	m.pendingPushes.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		defer cancel()
		var sends sync.WaitGroup
		defer sends.Wait()
		for _, member := range members.Members {
			if member.Identity == m.node.Self().Identity {
				continue
			}
			sends.Go(func() {
				reply, err := m.node.Dial(member).Push(ctx, message)
				if err == nil {
					m.node.RecordInForce(member.Identity, reply.GetRevision())
				}
			})
		}
	})
}

// InForce returns the members that have confirmed the revision or a newer one,
// and those that have not.
func (m *Manager) InForce(_ context.Context, revision uint64) (confirmed, missing []string) {
	return m.node.InForce(revision)
}

// Roster implements operator.Fleet.
func (m *Manager) Roster(context.Context) ([]api.Member, error) {
	members, _ := m.node.Roster()
	list := make([]api.Member, 0, len(members.Members))
	for _, member := range members.Members {
		list = append(list, api.Member{
			Name: member.Name, Incarnation: member.Incarnation, Role: string(member.Role),
			Address: member.Address.String(), DataCentre: member.DataCentre, State: string(member.State),
			Revision: m.node.RevisionOf(member.Identity),
		})
	}
	return list, nil
}

// readyToCommit reports whether this manager may commit: every member that was in
// the roster when this manager joined has since answered one of its exchanges, or
// has left.
func (m *Manager) readyToCommit() bool {
	members, _ := m.node.Roster()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !members.Contains(m.node.Self().Identity) {
		return false
	}
	if m.joiner == nil {
		m.joiner = revision.NewJoiner(m.otherMembers(members))
	}
	for _, id := range m.node.Answered() {
		m.joiner.Acknowledge(revision.Member(id))
	}
	m.joiner.ApplyRoster(m.otherMembers(members))
	return m.joiner.Ready()
}

// otherMembers returns the members without this process.
func (m *Manager) otherMembers(members roster.Roster) []revision.Member {
	var others []revision.Member
	for _, member := range members.Members {
		if member.Identity != m.node.Self().Identity {
			others = append(others, revision.Member(member.Identity))
		}
	}
	return others
}
