package share

import "time"

// none is the index of no node.
const none = -1

// node is one ticket that waits or runs.
type node struct {
	id       uint64
	deadline time.Time
	started  time.Time
	flow     *flow
	prev     int32
	next     int32
	running  bool
}

// nodes is a slab of nodes with a free list, so that tickets come and go
// without allocation.
type nodes struct {
	slab []node
	free []int32
}

func (n *nodes) take() int32 {
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

// list is a first-in-first-out queue of nodes.
type list struct {
	head int32
	tail int32
	size int
}

func (l *list) push(n *nodes, index int32) {
	n.slab[index].prev = l.tail
	n.slab[index].next = none
	if l.tail == none {
		l.head = index
	} else {
		n.slab[l.tail].next = index
	}
	l.tail = index
	l.size++
}

func (l *list) remove(n *nodes, index int32) {
	prev, next := n.slab[index].prev, n.slab[index].next
	if prev == none {
		l.head = next
	} else {
		n.slab[prev].next = next
	}
	if next == none {
		l.tail = prev
	} else {
		n.slab[next].prev = prev
	}
	l.size--
}
