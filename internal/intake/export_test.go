package intake

// Arriving returns the number of connections that have sent a part of a request.
func (d *Door) Arriving() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for conn := range d.connections {
		if now := phase(conn.phase.Load()); now == phaseArriving || now == phaseBody {
			count++
		}
	}
	return count
}
