package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// join writes our row and reads the others'.
func (n *Node) join(ctx context.Context) {
	self := record.Member{Name: n.config.Name, Address: n.config.Address, Processor: n.config.Processor}
	err := n.config.Store.Commit(ctx, table.Txn{Writes: []table.Write{{Key: record.MemberKey(self.Name), Value: record.Encode(self)}}})
	n.noteStore(err)
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
		n.config.Journal.Info("members not read", "error", err.Error())
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

// readClaim reads in a store which process leads. It reports whether the store answered.
func (n *Node) readClaim(ctx context.Context, store table.Store) bool {
	rows, err := store.Get(ctx, record.ClaimKey, record.RenewalKey)
	if store == n.config.Store {
		n.noteStore(err)
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
		n.config.Journal.Info("claim is not readable", "error", err.Error())
		return false
	}
	n.mu.Lock()
	n.claimVersion = rows[0].Version
	if rows[1].Version != n.renewal {
		n.renewal = rows[1].Version
		n.renewedAt = time.Now()
	}
	n.mu.Unlock()
	n.learn(claim, "store")
	return true
}

// learn takes a claim that may be newer than ours.
func (n *Node) learn(claim record.Claim, source string) {
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
		n.resign()
		n.config.Journal.Info("leadership lost", "to", claim.Name, "token", claim.Token)
	}
	n.heardAt = time.Now()
	if claim.Released {
		n.heardAt = time.Time{}
	}
	n.signal()
}

// noteStore remembers whether the store answers us.
func (n *Node) noteStore(err error) {
	if errors.Is(err, context.Canceled) {
		// It was we who broke the call off.
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	isAnswer := err == nil || table.IsConflict(err)
	was := n.storeOKAt.After(n.storeFailedAt)
	if isAnswer {
		n.storeOKAt = now
	} else {
		n.storeFailedAt = now
	}
	if was != isAnswer {
		n.config.Journal.Info("store reached", "reached", isAnswer)
	}
}

// NoteStore is for other callers of the store in this process.
func (n *Node) ObserveStore(err error) {
	n.noteStore(err)
}

// storeLikely reports whether it is worth asking the store directly.
func (n *Node) storeLikely() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeOKAt.After(n.storeFailedAt) || time.Since(n.storeFailedAt) > directPause {
		return true
	}
	return len(n.members) == 0
}

// StoreReached reports whether the store answered our last call.
func (n *Node) StoreReached() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeOKAt.After(n.storeFailedAt)
}
