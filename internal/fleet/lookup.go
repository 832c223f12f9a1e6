package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// unknownPause is how long an endpoint waits that knows a job which we do not.
	unknownPause = 100 * time.Millisecond
	// lookupAgain is the time after which an unanswered lookup is repeated.
	lookupAgain = 500 * time.Millisecond
)

// lookup is the search for a job that an endpoint knows. An earlier leader may have
// started it, and its row may not have reached us.
type lookup struct {
	askedAt time.Time
	// isAbsent is true once the store has told that there is no such job.
	isAbsent bool
}

// isAbsent reports whether the store has told that there is no such job.
func (l *Leader) isAbsent(id job.ID) bool {
	return l.lookups[id].isAbsent
}

// fetch asks for a job's rows.
func (l *Leader) fetch(id job.ID) {
	if _, ok := l.lookups[id]; !ok {
		l.lookups[id] = lookup{}
	}
}

// dueLookups lists the jobs to read from the store now.
func (l *Leader) dueLookups(now time.Time) []job.ID {
	var ids []job.ID
	for id, known := range l.lookups {
		if known.isAbsent || now.Sub(known.askedAt) < lookupAgain {
			continue
		}
		l.lookups[id] = lookup{askedAt: now}
		ids = append(ids, id)
	}
	return ids
}

// Found takes a job's rows that a lookup has read; stored is nil if there is no
// such job.
func (l *Leader) HandleLookup(id job.ID, stored *StoredJob, now, wall time.Time) {
	l.note("job looked up", "job", id, "found", stored != nil)
	if l.jobs[id] != nil {
		delete(l.lookups, id)
		return
	}
	if stored == nil {
		l.lookups[id] = lookup{askedAt: now, isAbsent: true}
		return
	}
	delete(l.lookups, id)
	l.add(*stored, now, wall)
}
