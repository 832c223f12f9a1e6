package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// join writes this process's member row and reads the other members' rows.
func (n *Node) join(ctx context.Context) {
	self := n.self()
	err := n.config.Store.Commit(ctx, table.Txn{Writes: []table.Write{{Key: record.MemberKey(self.Name), Value: record.Encode(self)}}})
	n.observeStore(err)
	if err != nil {
		n.config.Journal.Info("member row not written", "error", err.Error())
	}
	n.readMembers(ctx)
	n.readClaim(ctx, n.Store())
}

// readMembers reads all members' rows.
func (n *Node) readMembers(ctx context.Context) {
	rows, err := n.Store().Scan(ctx, record.MemberPrefix)
	if err != nil {
		n.config.Journal.Info("member rows not read", "error", err.Error())
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = map[string]record.Member{}
	for _, row := range rows {
		member, err := record.Decode[record.Member](row.Value)
		if err != nil || member.Name == n.config.Name || !member.Address.IsValid() {
			continue
		}
		n.members[member.Name] = member
	}
}

// readClaim reads the leadership claim from a store. It reports whether the
// store answered.
func (n *Node) readClaim(ctx context.Context, store table.Store) bool {
	rows, err := store.Get(ctx, record.ClaimKey, record.RenewalKey)
	if store == n.config.Store {
		n.observeStore(err)
	}
	if err != nil {
		return false
	}
	if rows[0].Version == table.Absent {
		n.mu.Lock()
		n.claimVersion = table.Absent
		n.mu.Unlock()
		return true
	}
	claim, err := record.Decode[record.Claim](rows[0].Value)
	if err != nil {
		n.config.Journal.Info("leadership claim cannot be decoded", "error", err.Error())
		return false
	}
	n.mu.Lock()
	n.claimVersion = rows[0].Version
	if rows[1].Version != n.renewalVersion {
		n.renewalVersion = rows[1].Version
		n.renewedAt = time.Now()
		n.leaderLoading = isLoading(rows[1], claim)
	}
	n.mu.Unlock()
	n.observeClaim(claim, "store")
	return true
}

// isLoading reports whether a renewal is of the claim's leader and says that it still
// reads its rows. One that cannot be decoded says nothing.
func isLoading(row table.Row, claim record.Claim) bool {
	if row.Version == table.Absent {
		return false
	}
	renewal, err := record.Decode[record.Renewal](row.Value)
	return err == nil && renewal.Loading && renewal.Token == claim.Token
}

// observeClaim adopts a claim if it is newer than the known one.
func (n *Node) observeClaim(claim record.Claim, source string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	isNew := claim.Token > n.claim.Token || claim.Token == n.claim.Token && claim.Released && !n.claim.Released
	if !isNew {
		return
	}
	n.config.Journal.Info("leader learned", "leader", claim.Name, "token", claim.Token, "released", claim.Released, "source", source)
	n.claim = claim
	n.renewedAt = time.Now()
	if n.leading {
		n.leading = false
		n.cancelTerm()
		n.config.Journal.Info("leadership lost", "to", claim.Name, "token", claim.Token)
	}
	n.leaderHeardAt = time.Now()
	if claim.Released {
		n.leaderHeardAt = time.Time{}
	}
	n.wakeUp()
}

// observeStore records the result of a direct call to the store.
func (n *Node) observeStore(err error) {
	if errors.Is(err, context.Canceled) {
		// This process cancelled the call itself.
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	isReached := err == nil || table.IsConflict(err)
	wasReached := n.storeOKAt.After(n.storeFailedAt)
	if isReached {
		if !wasReached && !n.storeFailedAt.IsZero() && now.Sub(n.storeOKAt) > briefStoreFailure {
			n.storeReturnedAt = now
		}
		n.storeOKAt = now
	} else {
		n.storeFailedAt = now
	}
	if wasReached != isReached {
		n.config.Journal.Info("store reached", "reached", isReached)
	}
}

// ObserveStore records the result of a store call made by another part of this
// process.
func (n *Node) ObserveStore(err error) {
	n.observeStore(err)
}

// shouldTryStore reports whether to call the store directly.
func (n *Node) shouldTryStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeOKAt.After(n.storeFailedAt) || time.Since(n.storeFailedAt) > directRetryDelay {
		return true
	}
	return len(n.members) == 0
}

// StoreReachableSince returns since when the store has answered this process, apart from brief
// failures: zero if it always has, or the present time if it did not answer the last call.
func (n *Node) StoreReachableSince() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.storeOKAt.After(n.storeFailedAt) {
		return time.Now()
	}
	return n.storeReturnedAt
}

// StoreReached reports whether the store answered this process's last call.
func (n *Node) StoreReached() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeOKAt.After(n.storeFailedAt)
}
