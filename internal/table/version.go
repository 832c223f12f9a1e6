package table

import (
	"context"
)

// Versioner is a Store whose commits return the version of the written rows.
type Versioner interface {
	CommitVersion(ctx context.Context, txn Txn) (uint64, error)
}

// CommitVersion commits a transaction and returns the version of the row with
// the given key, which the transaction writes. Errors are those of Commit; a
// version that could not be read is an ErrUnknown.
func CommitVersion(ctx context.Context, store Store, txn Txn, key string) (uint64, error) {
	if versioner, ok := store.(Versioner); ok {
		return versioner.CommitVersion(ctx, txn)
	}
	if err := store.Commit(ctx, txn); err != nil {
		return 0, err
	}
	rows, err := store.Get(ctx, key)
	if err != nil {
		return 0, ErrUnknown
	}
	return rows[0].Version, nil
}
