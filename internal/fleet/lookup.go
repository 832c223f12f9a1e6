package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// unknownJobDelay is how long an endpoint that reports an unknown job gets no work.
	unknownJobDelay = 100 * time.Millisecond
	// lookupRetryDelay is the time after which an unanswered lookup is repeated.
	lookupRetryDelay = 500 * time.Millisecond
)

// lookup is the search in the store for a job that an endpoint has reported. An earlier
// leader may have started it before its row reached this one.
type lookup struct {
	requestedAt time.Time
	// isAbsent is true once the store has shown that the job does not exist.
	isAbsent bool
}

// isAbsent reports whether the store has shown that the job does not exist.
func (l *Leader) isAbsent(id job.ID) bool {
	return l.lookups[id].isAbsent
}

// requestLookup schedules a lookup of a job's rows.
func (l *Leader) requestLookup(id job.ID) {
	if _, ok := l.lookups[id]; !ok {
		l.lookups[id] = lookup{}
	}
}

// dueLookups returns the jobs to read from the store now.
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

// HandleLookup processes the result of a lookup; stored is nil if the job does not exist.
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
