package control

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// endpointFeedInterval is the pause between two calls of the endpoint feed:
	// each endpoint writes every second or two, and each answer is charged.
	endpointFeedInterval = 400 * time.Millisecond
	// busyEndpointFeedInterval replaces it while hosts are being changed.
	busyEndpointFeedInterval = 60 * time.Millisecond
	// endpointFeedTimeout is the long-poll timeout of the endpoint feed. It bounds the age of
	// the endpoints' capacities while none of them writes.
	endpointFeedTimeout = time.Second
	// rowFeedInterval is the pause between two calls of the job and cancel feeds;
	// the ingress usually notifies the leader directly.
	rowFeedInterval = 700 * time.Millisecond
	// feedTimeout is the long-poll timeout: how long the store may wait for a change.
	feedTimeout = 2 * time.Second
	// firstFeedTimeout replaces it, and the pause, for firstFeedTime after a takeover: what a
	// former leader may have started is known once a call has come back that was made later.
	firstFeedTimeout = 300 * time.Millisecond
	firstFeedTime    = 3 * time.Second
	// feedRetryDelay is the pause after a failed call of a feed.
	feedRetryDelay = 200 * time.Millisecond
)

func parseNumber(text string) (int64, bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	return number, err == nil
}

// endpointFeed follows the platform's list of endpoints.
func (t *term) endpointFeed(ctx context.Context) {
	version, known := uint64(0), false
	for ctx.Err() == nil {
		var err error
		if known {
			version, err = t.followEndpoints(ctx, version)
		} else {
			version, err = t.listEndpoints(ctx)
		}
		t.config.ObserveStore(err)
		known = err == nil || known && !errors.Is(err, table.ErrHistoryLost)
		pause := endpointFeedInterval
		t.locked(partLists, func() {
			if t.leader.HostChangeDue(time.Now()) {
				pause = busyEndpointFeedInterval
			}
		})
		if err != nil {
			t.config.Journal.Info("endpoint list not read", "version", version, "error", err.Error())
			pause = feedRetryDelay
		}
		if !loops.Sleep(ctx, pause) {
			return
		}
	}
}

// listEndpoints reads the whole list and returns its version.
func (t *term) listEndpoints(ctx context.Context) (uint64, error) {
	sentAt := time.Now()
	endpoints, version, err := t.config.EndpointList.All(ctx)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	t.locked(partLists, func() {
		listed := map[fleet.EndpointID]bool{}
		for _, endpoint := range endpoints {
			listed[endpoint.ID] = true
			t.leader.UpdateEndpoint(endpoint, now)
		}
		for _, id := range t.leader.EndpointIDs() {
			if !listed[id] {
				t.leader.RemoveEndpoint(id, now)
			}
		}
		t.leader.NoteStoreReturn(t.config.StoreReachableSince())
		t.leader.ConfirmEndpoints(sentAt)
	})
	t.requestStep()
	return version, nil
}

// followEndpoints reads the changes since a version and returns the next version.
func (t *term) followEndpoints(ctx context.Context, after uint64) (uint64, error) {
	sentAt := time.Now()
	listed, gone, next, err := t.config.EndpointList.Changes(ctx, after, endpointFeedTimeout)
	if err != nil {
		return after, err
	}
	now := time.Now()
	t.locked(partLists, func() {
		for _, endpoint := range listed {
			t.leader.UpdateEndpoint(endpoint, now)
		}
		for _, id := range gone {
			t.leader.RemoveEndpoint(id, now)
		}
		t.leader.NoteStoreReturn(t.config.StoreReachableSince())
		t.leader.ConfirmEndpoints(sentAt)
	})
	t.requestStep()
	return next, nil
}

// rowFeed follows one of the fleet's tables from a version, or after reading it whole
// if the version is 0, and calls apply for each change.
func (t *term) rowFeed(ctx context.Context, tableName string, version uint64, apply func(table.Change)) {
	known := version != 0
	startedAt := time.Now()
	for ctx.Err() == nil {
		var changes []table.Change
		var err error
		sentAt := time.Now()
		timeout, pause := feedTimeout, rowFeedInterval
		if sentAt.Sub(startedAt) < firstFeedTime {
			timeout, pause = firstFeedTimeout, firstFeedTimeout
		}
		if known {
			changes, version, err = t.config.Feed.Follow(ctx, tableName, version, timeout)
		} else {
			changes, version, err = t.scanAll(ctx, tableName)
		}
		t.config.ObserveStore(err)
		for _, change := range changes {
			apply(change)
		}
		known = err == nil || known && !errors.Is(err, table.ErrHistoryLost)
		switch {
		case err != nil:
			pause = feedRetryDelay
		case tableName == record.JobTable:
			t.locked(partJobs, func() { t.leader.ConfirmJobs(sentAt) })
		}
		if !loops.Sleep(ctx, pause) {
			return
		}
	}
}

// scanAll reads all rows of a table, and returns the version to follow from.
func (t *term) scanAll(ctx context.Context, tableName string) ([]table.Change, uint64, error) {
	rows, version, err := t.readShards(ctx, tableName)
	changes := make([]table.Change, 0, len(rows))
	for _, row := range rows {
		changes = append(changes, table.Change{Row: row})
	}
	return changes, version, err
}
