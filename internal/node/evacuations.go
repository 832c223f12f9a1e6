package node

import "github.com/lovagedyke/lovagedyke/internal/revision"

// LogEvacuations logs the evacuations that have come into force or were withdrawn
// since the last call. The source says how this process learnt of them.
func (n *Node) LogEvacuations(source string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	state := n.configuration.View().State
	if state.Revision <= n.loggedEvacuations.Revision {
		return
	}
	for _, dataCentre := range state.EvacuatedDataCentres() {
		if _, known := n.loggedEvacuations.Evacuations[dataCentre]; !known {
			n.config.Log.Info("evacuation requested", "data-centre", dataCentre, "source", source, "revision", state.Revision)
		}
	}
	for _, dataCentre := range n.loggedEvacuations.EvacuatedDataCentres() {
		if _, inForce := state.Evacuations[dataCentre]; !inForce {
			n.config.Log.Info("evacuation withdrawn", "data-centre", dataCentre, "source", source, "revision", state.Revision)
		}
	}
	n.logMalformed(state)
	n.loggedEvacuations = state
}

// logMalformed logs the evacuation rows that cannot be read.
func (n *Node) logMalformed(state revision.State) {
	for _, key := range state.Malformed {
		n.config.Log.Warn("evacuation row cannot be read; it is in force if its key names a data centre", "key", key, "revision", state.Revision)
	}
}
