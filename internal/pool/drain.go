package pool

import "time"

// Sender is a process that may send work to hosts: one incarnation of an entry
// or of a manager that places tasks.
type Sender struct {
	Name        string
	Incarnation uint64
}

// Confirmation is what a sender says of a host: the newest epoch that it obeys,
// and its requests there that may still run.
type Confirmation struct {
	Epoch    uint64
	InFlight int
}

// Drains collects what is needed to call a host's drain complete. It is not
// safe for concurrent use.
type DrainTracker struct {
	confirmed map[string]map[Sender]Confirmation
	// goneSince is when a sender was first known to have ended.
	goneSince map[Sender]time.Time
}

// NewDrains returns a collection without confirmations.
func NewDrainTracker() *DrainTracker {
	return &DrainTracker{
		confirmed: make(map[string]map[Sender]Confirmation),
		goneSince: make(map[Sender]time.Time),
	}
}

// Confirm takes a sender's word on a host; older epochs change nothing.
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

// Quiet reports whether nothing runs at the draining host and nothing will be
// sent there: each of the senders has confirmed the drain's epoch with nothing
// in flight. A sender that the roster dropped may have left work behind, which
// ends within the longest run.
func (d *DrainTracker) IsDrained(now time.Time, a Assignment, senders, gone []Sender, longestRun time.Duration) bool {
	for _, sender := range senders {
		c, ok := d.confirmed[a.Host][sender]
		if !ok || c.Epoch < a.Epoch || c.InFlight > 0 {
			return false
		}
	}
	quiet := true
	for _, sender := range gone {
		since, ok := d.goneSince[sender]
		if !ok {
			since = now
			d.goneSince[sender] = now
		}
		quiet = quiet && now.Sub(since) >= longestRun
	}
	return quiet
}

// Forget drops what was collected on a host whose drain has ended.
func (d *DrainTracker) Forget(host string) { delete(d.confirmed, host) }
