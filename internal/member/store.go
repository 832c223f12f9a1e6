package member

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// maxRelays is the number of peers that a call to the store is tried through;
	// more would only add load while the store is unavailable.
	maxRelays = 3
	// directRetryDelay is how long the store is called through peers only after a
	// direct call failed.
	directRetryDelay = 500 * time.Millisecond
)

// Store calls the platform's store, directly or through a peer that reaches it.
type Store struct {
	node *Node
}

// Get implements table.Store.
func (s *Store) Get(ctx context.Context, keys ...string) ([]table.Row, error) {
	return s.read(ctx, func(ctx context.Context) ([]table.Row, error) {
		return s.node.config.Store.Get(ctx, keys...)
	}, func(ctx context.Context, peer memberpb.Member) (*memberpb.RowsReply, error) {
		return peer.Get(ctx, &memberpb.GetRequest{Keys: keys})
	})
}

// Scan implements table.Store.
func (s *Store) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	return s.read(ctx, func(ctx context.Context) ([]table.Row, error) {
		return s.node.config.Store.Scan(ctx, prefix)
	}, func(ctx context.Context, peer memberpb.Member) (*memberpb.RowsReply, error) {
		return peer.Scan(ctx, &memberpb.ScanRequest{Prefix: prefix})
	})
}

// read calls the store directly, and then through peers.
func (s *Store) read(ctx context.Context, direct func(context.Context) ([]table.Row, error),
	relayed func(context.Context, memberpb.Member) (*memberpb.RowsReply, error),
) ([]table.Row, error) {
	if s.node.shouldTryStore() {
		rows, err := direct(ctx)
		s.node.observeStore(err)
		if err == nil || !errors.Is(err, table.ErrUnavailable) {
			return rows, err
		}
	}
	for _, peer := range s.node.relays() {
		reply, err := relayed(ctx, s.node.dialer.dial(peer.Address))
		if err == nil && !reply.Unavailable {
			metrics.GetOrCreateCounter(`store_relayed_total{kind="read"}`).Inc()
			return decodeRows(reply.Rows), nil
		}
	}
	return nil, errors.Mark(errors.New("neither this process nor a peer reaches the store"), table.ErrUnavailable)
}

// Commit implements table.Store. A commit with an unknown outcome is not retried
// here: only the caller knows how to resolve it.
func (s *Store) Commit(ctx context.Context, txn table.Txn) error {
	_, err := s.CommitVersion(ctx, txn)
	return err
}

// CommitVersion implements table.Versioner.
func (s *Store) CommitVersion(ctx context.Context, txn table.Txn) (uint64, error) {
	if s.node.shouldTryStore() {
		version, err := s.node.commit(ctx, txn)
		if !errors.Is(err, table.ErrUnavailable) {
			return version, err
		}
	}
	request := encodeCommit(txn)
	for _, peer := range s.node.relays() {
		reply, err := s.node.dialer.dial(peer.Address).Commit(ctx, request)
		if isDialFailure(err) {
			continue
		}
		if err != nil {
			// The peer may have relayed the commit.
			return 0, errors.Mark(errors.Wrap(err, "commit through a peer"), table.ErrUnknown)
		}
		if reply.Outcome == memberpb.Outcome_OUTCOME_UNAVAILABLE {
			continue
		}
		metrics.GetOrCreateCounter(`store_relayed_total{kind="commit"}`).Inc()
		return reply.Version, decodeOutcome(txn, reply)
	}
	return 0, errors.Mark(errors.New("neither this process nor a peer reaches the store"), table.ErrUnavailable)
}

// commit commits directly to the store.
func (n *Node) commit(ctx context.Context, txn table.Txn) (uint64, error) {
	key := ""
	if len(txn.Writes) > 0 {
		key = txn.Writes[0].Key
	}
	version, err := table.CommitVersion(ctx, n.config.Store, txn, key)
	n.observeStore(err)
	return version, err
}

func encodeCommit(txn table.Txn) *memberpb.CommitRequest {
	request := &memberpb.CommitRequest{}
	for _, condition := range txn.Conditions {
		request.Conditions = append(request.Conditions, &memberpb.Condition{Key: condition.Key, Version: condition.Version})
	}
	for _, write := range txn.Writes {
		request.Writes = append(request.Writes, &memberpb.Write{Key: write.Key, Value: write.Value, Delete: write.Delete})
	}
	return request
}

func decodeCommit(request *memberpb.CommitRequest) table.Txn {
	var txn table.Txn
	for _, condition := range request.Conditions {
		txn.Conditions = append(txn.Conditions, table.Condition{Key: condition.Key, Version: condition.Version})
	}
	for _, write := range request.Writes {
		txn.Writes = append(txn.Writes, table.Write{Key: write.Key, Value: write.Value, Delete: write.Delete})
	}
	return txn
}

func decodeOutcome(txn table.Txn, reply *memberpb.CommitReply) error {
	switch reply.Outcome {
	case memberpb.Outcome_OUTCOME_DONE:
		return nil
	case memberpb.Outcome_OUTCOME_CONFLICT:
		conflict := &table.ConflictError{Key: reply.ConflictKey, Got: reply.ConflictVersion}
		for _, condition := range txn.Conditions {
			if condition.Key == conflict.Key {
				conflict.Want = condition.Version
			}
		}
		return conflict
	case memberpb.Outcome_OUTCOME_REFUSED:
		return errors.Mark(errors.New("the store has refused the commit through a peer"), table.ErrRefused)
	default:
		return errors.Mark(errors.New("the peer's commit has an unknown outcome"), table.ErrUnknown)
	}
}

func encodeOutcome(version uint64, err error) *memberpb.CommitReply {
	var conflict *table.ConflictError
	switch {
	case err == nil:
		return &memberpb.CommitReply{Outcome: memberpb.Outcome_OUTCOME_DONE, Version: version}
	case errors.As(err, &conflict):
		return &memberpb.CommitReply{
			Outcome: memberpb.Outcome_OUTCOME_CONFLICT, ConflictKey: conflict.Key, ConflictVersion: conflict.Got,
		}
	case errors.Is(err, table.ErrUnknown):
		return &memberpb.CommitReply{Outcome: memberpb.Outcome_OUTCOME_UNKNOWN}
	case errors.Is(err, table.ErrRefused):
		return &memberpb.CommitReply{Outcome: memberpb.Outcome_OUTCOME_REFUSED}
	default:
		return &memberpb.CommitReply{Outcome: memberpb.Outcome_OUTCOME_UNAVAILABLE}
	}
}

func decodeRows(rows []*memberpb.Row) []table.Row {
	out := make([]table.Row, 0, len(rows))
	for _, row := range rows {
		out = append(out, table.Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return out
}

func encodeRows(rows []table.Row) []*memberpb.Row {
	out := make([]*memberpb.Row, 0, len(rows))
	for _, row := range rows {
		out = append(out, &memberpb.Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return out
}

// isDialFailure reports whether a call failed before anything was sent.
func isDialFailure(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
