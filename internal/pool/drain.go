package pool

import "time"

// Sender is a process that may send work to hosts: one incarnation of an entry,
// or of a manager that places tasks.
type Sender struct {
	Name        string
	Incarnation uint64
}

// Confirmation is a sender's report about a host: the newest assignment epoch
// that the sender applies, and how many of its requests may still run there.
type Confirmation struct {
	Epoch    uint64
	InFlight int
}

// DrainTracker collects confirmations and reports when a host's drain is
// complete. It is not safe for concurrent use.
type DrainTracker struct {
	confirmed map[string]map[Sender]Confirmation
	// goneSince is the time at which a sender was first observed to have ended.
	goneSince map[Sender]time.Time
}

// NewDrainTracker returns a DrainTracker without confirmations.
func NewDrainTracker() *DrainTracker {
	return &DrainTracker{
		confirmed: make(map[string]map[Sender]Confirmation),
		goneSince: make(map[Sender]time.Time),
	}
}

// Confirm records a sender's confirmation for a host. Confirmations of older
// epochs are ignored.
func (d *DrainTracker) Confirm(host string, sender Sender, c Confirmation) {
	bySender, ok := d.confirmed[host]
	if !ok {
		bySender = make(map[Sender]Confirmation)
		d.confirmed[host] = bySender
	}
	if c.Epoch < bySender[sender].Epoch {
		return
	}
	bySender[sender] = c
}

// IsDrained reports whether nothing runs on the draining host and nothing will
// be sent to it: each of the senders has confirmed the epoch of the drain with
// nothing in flight. Senders in gone have left the roster, but their work may
// still run for up to longestRun.
func (d *DrainTracker) IsDrained(now time.Time, a Assignment, senders, gone []Sender, longestRun time.Duration) bool {
	for _, sender := range senders {
		c, ok := d.confirmed[a.Host][sender]
		if !ok || c.Epoch < a.Epoch || c.InFlight > 0 {
			return false
		}
	}
	drained := true
	for _, sender := range gone {
		since, ok := d.goneSince[sender]
		if !ok {
			since = now
			d.goneSince[sender] = now
		}
		drained = drained && now.Sub(since) >= longestRun
	}
	return drained
}

// Forget drops the confirmations for a host whose drain has ended.
func (d *DrainTracker) Forget(host string) { delete(d.confirmed, host) }
