package policy

import (
	"sync"
	"time"
)

// maxAnnouncements is the number of announced versions that a Lag tells apart.
const maxAnnouncements = 16

// Lag tracks which versions this process has heard of and does not have in force
// yet, and since when. It is safe for concurrent use.
type Lag struct {
	mu      sync.Mutex
	current uint64
	// pending holds the announced versions above current, ascending.
	pending []announcement
}

// announcement is a version and when this process first heard of it.
type announcement struct {
	version uint64
	at      time.Time
}

// Announced records that another process has a version. It reports whether that is
// the newest version heard of so far.
func (l *Lag) Announced(version uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.newest() {
		return false
	}
	if len(l.pending) == maxAnnouncements {
		l.pending[maxAnnouncements-1].version = version
		return true
	}
	l.pending = append(l.pending, announcement{version: version, at: now})
	return true
}

// InForce records that a version is in force. It returns how long this process knew
// of it, or of an earlier one that it skipped, without having it.
func (l *Lag) InForce(version uint64, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	behind := time.Duration(0)
	if len(l.pending) > 0 && l.pending[0].version <= version {
		behind = now.Sub(l.pending[0].at)
	}
	l.current = max(l.current, version)
	for len(l.pending) > 0 && l.pending[0].version <= l.current {
		l.pending = l.pending[1:]
	}
	return behind
}

// Behind returns the newest version heard of, and for how long this process has known
// of a version that is newer than the one in force.
func (l *Lag) Behind(now time.Time) (newest uint64, behind time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return l.current, 0
	}
	return l.newest(), now.Sub(l.pending[0].at)
}

// newest returns the newest version heard of or in force. The caller holds l.mu.
func (l *Lag) newest() uint64 {
	if len(l.pending) == 0 {
		return l.current
	}
	return l.pending[len(l.pending)-1].version
}
