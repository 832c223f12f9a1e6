package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// unknownJobDelay is how long an endpoint waits that knows a job which we do not.
	unknownJobDelay = 100 * time.Millisecond
	// lookupRetryDelay is the time after which an unanswered lookup is repeated.
	lookupRetryDelay = 500 * time.Millisecond
)

// lookup is the search for a job that an endpoint knows. An earlier leader may have
// started it, and its row may not have reached us.
type lookup struct {
	requestedAt time.Time
	// isAbsent is true once the store has told that there is no such job.
	isAbsent bool
}

// isAbsent reports whether the store has told that there is no such job.
func (l *Leader) isAbsent(id job.ID) bool {
	return l.lookups[id].isAbsent
}

// requestLookup asks for a job's rows.
func (l *Leader) requestLookup(id job.ID) {
	if _, ok := l.lookups[id]; !ok {
		l.lookups[id] = lookup{}
	}
}

// dueLookups lists the jobs to read from the store now.
func (l *Leader) dueLookups(now time.Time) []job.ID {
	var ids []job.ID
	for id, known := range l.lookups {
		if known.isAbsent || now.Sub(known.requestedAt) < lookupRetryDelay {
			continue
		}
		l.lookups[id] = lookup{requestedAt: now}
		ids = append(ids, id)
	}
	return ids
}

// HandleLookup takes a job's rows that a lookup has read; stored is nil if there is no
// such job.
func (l *Leader) HandleLookup(id job.ID, stored *StoredJob, now, wall time.Time) {
	l.log("job looked up", "job", id, "found", stored != nil)
	if l.jobs[id] != nil {
		delete(l.lookups, id)
		return
	}
	if stored == nil {
		l.lookups[id] = lookup{requestedAt: now, isAbsent: true}
		return
	}
	delete(l.lookups, id)
	l.add(*stored, now, wall)
}
