package share

import "time"

// noNode marks the absence of a node in a list.
const noNode = -1

// node is a ticket that is queued or running.
type node struct {
	id       uint64
	deadline time.Time
	started  time.Time
	flow     *flow
	prev     int32
	next     int32
	running  bool
}

// nodes is a slab of nodes with a free list, which avoids an allocation for each
// ticket.
type nodes struct {
	slab []node
	free []int32
}

func (n *nodes) allocate() int32 {
	if last := len(n.free) - 1; last >= 0 {
		index := n.free[last]
		n.free = n.free[:last]
		return index
	}
	n.slab = append(n.slab, node{})
	return int32(len(n.slab) - 1)
}

func (n *nodes) release(index int32) {
	n.slab[index] = node{}
	n.free = append(n.free, index)
}

// nodeList is a doubly linked FIFO queue of nodes.
type nodeList struct {
	head int32
	tail int32
	size int
}

func (l *nodeList) push(n *nodes, index int32) {
	n.slab[index].prev = l.tail
	n.slab[index].next = noNode
	if l.tail == noNode {
		l.head = index
	} else {
		n.slab[l.tail].next = index
	}
	l.tail = index
	l.size++
}

func (l *nodeList) remove(n *nodes, index int32) {
	prev, next := n.slab[index].prev, n.slab[index].next
	if prev == noNode {
		l.head = next
	} else {
		n.slab[prev].next = next
	}
	if next == noNode {
		l.tail = prev
	} else {
		n.slab[next].prev = prev
	}
	l.size--
}
