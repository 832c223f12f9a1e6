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
	// settleInterval is the time between two attempts to settle lost commits.
	resolveInterval = 500 * time.Millisecond
	// fencedRetries bounds how often a commit is tried on a newer roster.
	maxFencedAttempts = 5
)

// newAuthor returns the author of this manager's commits.
func (m *Manager) newCommitter() *revision.Committer {
	return revision.NewCommitter(revision.CommitterConfig{
		Store:   m.node.Store(),
		Replica: m.node.Configuration(),
		Ready:   m.readyToCommit,
		Guard:   m.guardConditions,
	})
}

// guard is the condition that the roster is the one in which this manager is
// known to be a member.
func (m *Manager) guardConditions() []table.Condition {
	_, rowVersion := m.node.Roster()
	return []table.Condition{{Key: roster.Key, Version: rowVersion}}
}

// Commit changes the configuration. It reads the roster again and repeats the
// commit when that row has changed while this manager is still a member.
// Errors: those of revision.Author.
func (m *Manager) Commit(ctx context.Context, op revision.Operation, edit revision.Edit) (revision.Change, error) {
	var change revision.Change
	var err error
	for range maxFencedAttempts {
		change, err = m.committer.Commit(ctx, op, edit)
		if !errors.Is(err, revision.ErrFenced) {
			return change, err
		}
		if err := m.node.RefreshRoster(ctx); err != nil {
			return change, err
		}
	}
	return change, err
}

// settleLoop makes sure that commits whose answer was lost take effect no
// more, or learns that they did.
func (m *Manager) resolveLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(resolveInterval):
		}
		if err := m.committer.Resolve(ctx); err != nil && ctx.Err() == nil {
			m.config.Log.Debug("lost commits not settled", "reason", err.Error())
		}
	}
}

// Push sends a committed change to every member, without waiting; who misses
// it polls the table.
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

// InForce returns the members that have confirmed the revision and the others.
func (m *Manager) InForce(_ context.Context, revision uint64) (confirmed, missing []string) {
	return m.node.InForce(revision)
}

// Roster returns the members for the operators' API.
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

// admitted reports whether every member that was in the roster when this
// manager joined has answered it since, or has left.
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

// others returns the members but for this process.
func (m *Manager) otherMembers(members roster.Roster) []revision.Member {
	var others []revision.Member
	for _, member := range members.Members {
		if member.Identity != m.node.Self().Identity {
			others = append(others, revision.Member(member.Identity))
		}
	}
	return others
}
