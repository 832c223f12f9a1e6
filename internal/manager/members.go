package manager

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// rosterLoop removes members on evidence and settles former generations.
func (m *Manager) rosterLoop(ctx context.Context) {
	watch := newHostWatch(m.config.ListLag)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(rosterInterval):
		}
		if err := m.tendRoster(ctx, watch); err != nil && ctx.Err() == nil {
			m.config.Log.Debug("roster not tended", "reason", err.Error())
		}
	}
}

// tendRoster makes one round over the roster.
func (m *Manager) tendRoster(ctx context.Context, watch *hostWatch) error {
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
	watch.observe(now, members, listed)
	if !m.leads(roster.Key, now) {
		return nil
	}
	acks, err := m.readAcks(ctx)
	if err != nil {
		return err
	}
	for _, member := range members.Members {
		if err := m.tendMember(ctx, member, members, acks, watch.gone(now, member)); err != nil {
			return err
		}
	}
	err = m.node.ChangeRoster(ctx, func(current roster.Roster) (roster.Roster, bool) {
		return roster.Prune(current, claim.BucketKeys(), acks, time.Now(), m.config.ClaimRetention)
	})
	if err != nil {
		return err
	}
	return m.dropAcks(ctx, members.ObsoleteAcks(acks))
}

// dropAcks deletes the acknowledgements of processes that no generation of the
// roster mentions.
func (m *Manager) dropAcks(ctx context.Context, obsolete []roster.Identity) error {
	if len(obsolete) == 0 {
		return nil
	}
	var txn table.Txn
	for _, id := range obsolete {
		txn.Writes = append(txn.Writes, table.Write{Key: roster.AckKey(id), Delete: true})
	}
	return errors.Wrap(m.node.Store().Commit(ctx, txn), "delete acknowledgements")
}

// readAcks reads which roster versions the members have acknowledged.
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

// tendMember removes a member whose end is proven.
func (m *Manager) tendMember(ctx context.Context, member roster.Member, members roster.Roster, acks roster.Acks, gone bool) error {
	evidence := roster.EvidenceHostGone
	switch {
	case gone:
	case handedOver(member, members, acks):
		evidence = roster.EvidenceAcknowledged
	default:
		return nil
	}
	m.config.Log.Info("member removed", "member", member.Identity, "evidence", evidence)
	return m.node.ChangeRoster(ctx, func(current roster.Roster) (roster.Roster, bool) {
		return roster.Remove(current, member.Identity, evidence, time.Now())
	})
}

// handedOver reports whether a leaving member acknowledged a version in which
// it holds nothing.
func handedOver(member roster.Member, members roster.Roster, acks roster.Acks) bool {
	return member.State == roster.StateLeaving && acks[member.Identity] >= members.Version
}

// hostWatch tells since when the platform's list has lacked a member's host.
type hostWatch struct {
	lag     time.Duration
	missing map[roster.Identity]time.Time
}

// newHostWatch returns a watch over a list with that lag.
func newHostWatch(lag time.Duration) *hostWatch {
	return &hostWatch{lag: lag, missing: make(map[roster.Identity]time.Time)}
}

// observe takes one reading of the list.
func (w *hostWatch) observe(now time.Time, members roster.Roster, listed map[string]bool) {
	missing := make(map[roster.Identity]time.Time)
	for _, member := range members.Members {
		if listed[member.Host] {
			continue
		}
		since, ok := w.missing[member.Identity]
		if !ok {
			since = now
		}
		missing[member.Identity] = since
	}
	w.missing = missing
}

// gone reports whether the list has lacked the member's host for longer than
// its lag.
func (w *hostWatch) gone(now time.Time, member roster.Member) bool {
	since, ok := w.missing[member.Identity]
	return ok && now.Sub(since) > w.lag
}
