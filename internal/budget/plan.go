package budget

const (
	// ReservedDescriptors is the part of a process's descriptors that is kept for files.
	ReservedDescriptors = 200
	// DefaultDescriptors is the limit of a process whose settings name none.
	DefaultDescriptors = 4096
	// DefaultMemory is the same for its memory, in bytes.
	DefaultMemory = 256 << 20

	// ConnectionBytes is what a client's connection costs: buffers, a stack, and what the
	// kernel holds for it.
	ConnectionBytes = 36 << 10
	// PeerConnectionBytes is the same without what the kernel holds.
	PeerConnectionBytes = 20 << 10

	// clientShare is the part of the process's memory for its clients, half of it for their
	// connections; peerShare is that for messages of peers, and for their connections. The
	// rest is for the process's own state.
	clientShare = 0.25
	peerShare   = 0.125
	// callerDescriptors, peerDescriptors and operationsDescriptors are the parts of the
	// descriptors for the connections of callers, of peers, and of each of the other ports. The
	// rest is for connections that the process opens.
	callerDescriptors     = 0.3
	peerDescriptors       = 0.4
	operationsDescriptors = 0.05
	// maxOperationsConnections bounds the connections to each of the other ports.
	maxOperationsConnections = 64
	// minShare is the part of the callers' budget and connections that they have however much
	// the process itself needs, and garbageShare the part of free memory that is left for
	// garbage.
	minShare, garbageShare = 0.25, 0.25
	// minConnections is the least number of connections of a port.
	minConnections = 8
)

// Machine is what a process may use.
type Machine struct {
	// Bytes is its memory and Descriptors the number of its descriptors; 0 means the default.
	Bytes       int64
	Descriptors int
}

// Plan divides what a process may use.
type Plan struct {
	// CallerConnections, PeerConnections and OperationsConnections are the most connections
	// to the port of callers, to that of peers, and to each other port.
	CallerConnections, PeerConnections, OperationsConnections int
	// RequestBytes is for what callers' requests hold, and PeerBytes for messages of peers.
	RequestBytes, PeerBytes int64
}

// NewPlan divides a process's memory and descriptors.
func NewPlan(machine Machine) Plan {
	if machine.Bytes <= 0 {
		machine.Bytes = DefaultMemory
	}
	if machine.Descriptors <= 0 {
		machine.Descriptors = DefaultDescriptors
	}
	descriptors := float64(max(0, machine.Descriptors-ReservedDescriptors))
	clientBytes, peerBytes := float64(machine.Bytes)*clientShare, float64(machine.Bytes)*peerShare
	return Plan{
		CallerConnections:     connections(descriptors*callerDescriptors, clientBytes/2/ConnectionBytes),
		PeerConnections:       connections(descriptors*peerDescriptors, peerBytes/PeerConnectionBytes),
		OperationsConnections: connections(descriptors*operationsDescriptors, maxOperationsConnections),
		RequestBytes:          int64(clientBytes / 2),
		PeerBytes:             int64(peerBytes),
	}
}

// Within returns the part of the callers' budget and connections that fits into the memory that
// the process itself leaves: half of it for either, and never less than minShare.
func (p Plan) Within(free int64) (requestBytes int64, callerConnections int) {
	half := float64(free) * (1 - garbageShare) / 2
	requestBytes = int64(min(float64(p.RequestBytes), max(float64(p.RequestBytes)*minShare, half)))
	callerConnections = int(min(float64(p.CallerConnections), max(float64(p.CallerConnections)*minShare, half/ConnectionBytes)))
	return requestBytes, callerConnections
}

func connections(limits ...float64) int {
	least := limits[0]
	for _, limit := range limits {
		least = min(least, limit)
	}
	return max(minConnections, int(least))
}
