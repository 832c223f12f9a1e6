package member

import (
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// ownHostSizes returns the sizes of all hosts if this process leads and knows them, or nil.
func (n *Node) ownHostSizes() []fleet.HostSize {
	if n.config.HostSizes == nil {
		return nil
	}
	return n.config.HostSizes()
}

func encodeHostSizes(sizes []fleet.HostSize) []*memberpb.HostSize {
	encoded := make([]*memberpb.HostSize, 0, len(sizes))
	for _, size := range sizes {
		encoded = append(encoded, &memberpb.HostSize{
			Cpu: size.Capacity.CPU, Memory: size.Capacity.Memory, Gpu: size.Capacity.GPU, Count: int64(size.Count),
		})
	}
	return encoded
}

func decodeHostSizes(encoded []*memberpb.HostSize) []fleet.HostSize {
	sizes := make([]fleet.HostSize, 0, len(encoded))
	for _, size := range encoded {
		sizes = append(sizes, fleet.HostSize{
			Capacity: policy.Resources{CPU: size.Cpu, Memory: size.Memory, GPU: size.Gpu}, Count: int(size.Count),
		})
	}
	return sizes
}
