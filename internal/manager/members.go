package manager

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// rosterLoop removes departed members from the roster and prunes its former
// generations.
func (m *Manager) rosterLoop(ctx context.Context) {
	absence := newHostAbsence(m.config.ListLag)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(rosterInterval):
		}
		if err := m.reconcileRoster(ctx, absence); err != nil && ctx.Err() == nil {
			m.config.Log.Debug("could not reconcile the roster", "reason", err.Error())
		}
	}
}

// reconcileRoster removes members that have departed, prunes former generations
// and deletes obsolete acknowledgements.
func (m *Manager) reconcileRoster(ctx context.Context, absence *hostAbsence) error {
	hosts, err := m.config.Platform.Hosts(ctx)
	if err != nil {
		return errors.Wrap(err, "read the host list")
	}
	listed := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		listed[host.Name] = true
	}
	members, _ := m.node.Roster()
	now := time.Now()
	absence.observe(now, members, listed)
	if !m.owns(roster.Key, now) {
		return nil
	}
	acks, err := m.readAcks(ctx)
	if err != nil {
		return err
	}
	for _, member := range members.Members {
		if err := m.removeDepartedMember(ctx, member, members, acks, absence.isGone(now, member)); err != nil {
			return err
		}
	}
	err = m.node.ChangeRoster(ctx, func(current roster.Roster) (roster.Roster, bool) {
		return roster.Prune(current, claim.BucketKeys(), acks, time.Now(), m.config.ClaimRetention)
	})
	if err != nil {
		return err
	}
	return m.deleteAcks(ctx, members.ObsoleteAcks(acks))
}

// deleteAcks deletes the acknowledgements of processes that no generation of the
// roster mentions.
func (m *Manager) deleteAcks(ctx context.Context, obsolete []roster.Identity) error {
	if len(obsolete) == 0 {
		return nil
	}
	var txn table.Txn
	for _, id := range obsolete {
		txn.Writes = append(txn.Writes, table.Write{Key: roster.AckKey(id), Delete: true})
	}
	return errors.Wrap(m.node.Store().Commit(ctx, txn), "delete acknowledgements")
}

// readAcks returns the roster version that each member has acknowledged.
func (m *Manager) readAcks(ctx context.Context) (roster.Acks, error) {
	rows, err := m.node.Store().Scan(ctx, roster.AckPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read acknowledgements")
	}
	acks := make(roster.Acks)
	for _, row := range rows {
		if err := acks.Add(row.Value); err != nil {
			return nil, err
		}
	}
	return acks, nil
}

// removeDepartedMember removes the member if there is evidence that it will not
// act again: its host is gone, or it has handed over all its claims.
func (m *Manager) removeDepartedMember(ctx context.Context, member roster.Member, members roster.Roster, acks roster.Acks, gone bool) error {
	evidence := roster.EvidenceHostGone
	switch {
	case gone:
	case hasHandedOver(member, members, acks):
		evidence = roster.EvidenceAcknowledged
	default:
		return nil
	}
	m.config.Log.Info("member removed", "member", member.Identity, "evidence", evidence)
	return m.node.ChangeRoster(ctx, func(current roster.Roster) (roster.Roster, bool) {
		return roster.Remove(current, member.Identity, evidence, time.Now())
	})
}

// hasHandedOver reports whether a leaving member has acknowledged the current
// roster version, in which it holds no claims.
func hasHandedOver(member roster.Member, members roster.Roster, acks roster.Acks) bool {
	return member.State == roster.StateLeaving && acks[member.Identity] >= members.Version
}

// hostAbsence tracks since when the platform's list has been missing a member's
// host.
type hostAbsence struct {
	listLag      time.Duration
	missingSince map[roster.Identity]time.Time
}

// newHostAbsence returns a hostAbsence for a list that may lag by listLag.
func newHostAbsence(lag time.Duration) *hostAbsence {
	return &hostAbsence{listLag: lag, missingSince: make(map[roster.Identity]time.Time)}
}

// observe records one reading of the list.
func (a *hostAbsence) observe(now time.Time, members roster.Roster, listed map[string]bool) {
	missingSince := make(map[roster.Identity]time.Time)
	for _, member := range members.Members {
		if listed[member.Host] {
			continue
		}
		since, ok := a.missingSince[member.Identity]
		if !ok {
			since = now
		}
		missingSince[member.Identity] = since
	}
	a.missingSince = missingSince
}

// isGone reports whether the member's host has been missing from the list for
// longer than listLag.
func (a *hostAbsence) isGone(now time.Time, member roster.Member) bool {
	since, ok := a.missingSince[member.Identity]
	return ok && now.Sub(since) > a.listLag
}
