package control

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// endpointFeedPause is the time between two answers of the endpoints' feed: each endpoint
	// writes every second or two, and each answer is charged.
	endpointFeedPause = 400 * time.Millisecond
	// endpointFeedQuick is the same while a host is about to be back.
	endpointFeedQuick = 60 * time.Millisecond
	// rowFeedPause is the same for jobs, which their ingress tells us of directly.
	rowFeedPause = 700 * time.Millisecond
	// feedWait is how long the store may wait for a change.
	feedWait = 2 * time.Second
	// feedRetry is the time before a feed that failed is asked again.
	feedRetry = 200 * time.Millisecond
)

func parseNumber(text string) (int64, bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	return number, err == nil
}

// endpointFeed follows the platform's list of endpoints.
func (r *reign) endpointFeed(ctx context.Context) {
	version, known := uint64(0), false
	for ctx.Err() == nil {
		var err error
		if known {
			version, err = r.followEndpoints(ctx, version)
		} else {
			version, err = r.listEndpoints(ctx)
		}
		r.config.ObserveStore(err)
		known = err == nil || known && !errors.Is(err, table.ErrHistoryLost)
		pause := endpointFeedPause
		r.locked(func() {
			if r.leader.HostChangeDue(time.Now()) {
				pause = endpointFeedQuick
			}
		})
		if err != nil {
			r.config.Journal.Info("endpoint list not read", "version", version, "error", err.Error())
			pause = feedRetry
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// listEndpoints reads the whole list.
func (r *reign) listEndpoints(ctx context.Context) (uint64, error) {
	endpoints, version, err := r.config.EndpointList.All(ctx)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	r.locked(func() {
		listed := map[fleet.EndpointID]bool{}
		for _, endpoint := range endpoints {
			listed[endpoint.ID] = true
			r.leader.UpdateEndpoint(endpoint, now)
		}
		for _, id := range r.leader.EndpointIDs() {
			if !listed[id] {
				r.leader.RemoveEndpoint(id, now)
			}
		}
	})
	r.kick()
	return version, nil
}

// followEndpoints reads what has changed.
func (r *reign) followEndpoints(ctx context.Context, after uint64) (uint64, error) {
	listed, gone, next, err := r.config.EndpointList.Changes(ctx, after, feedWait)
	if err != nil {
		return after, err
	}
	now := time.Now()
	r.locked(func() {
		for _, endpoint := range listed {
			r.leader.UpdateEndpoint(endpoint, now)
		}
		for _, id := range gone {
			r.leader.RemoveEndpoint(id, now)
		}
	})
	r.kick()
	return next, nil
}

// rowFeed follows one of our tables; each change goes to take.
func (r *reign) rowFeed(ctx context.Context, tableName string, take func(table.Change)) {
	version, known := uint64(0), false
	for ctx.Err() == nil {
		var changes []table.Change
		var err error
		if known {
			changes, version, err = r.config.Feed.Follow(ctx, tableName, version, feedWait)
		} else {
			changes, version, err = r.scanAll(ctx, tableName)
		}
		r.config.ObserveStore(err)
		for _, change := range changes {
			take(change)
		}
		known = err == nil || known && !errors.Is(err, table.ErrHistoryLost)
		pause := rowFeedPause
		if err != nil {
			pause = feedRetry
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// scanAll reads all parts of a table, and the version to follow from: the
// oldest of the parts', so that nothing is missed in between.
func (r *reign) scanAll(ctx context.Context, tableName string) ([]table.Change, uint64, error) {
	var changes []table.Change
	first := uint64(0)
	for shard := range record.JobShards {
		prefix := record.JobPrefix(shard)
		if tableName == record.CancelTable {
			prefix = record.CancelPrefix(shard)
		}
		rows, version, err := r.config.Feed.ScanAt(ctx, prefix)
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = version
		}
		for _, row := range rows {
			changes = append(changes, table.Change{Row: row})
		}
	}
	return changes, first, nil
}
