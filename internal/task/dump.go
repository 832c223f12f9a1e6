package task

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
)

// Summary is an open task as the dump shows it, without its body.
type Summary struct {
	Task     string    `json:"task"`
	Team     string    `json:"team"`
	State    State     `json:"state"`
	Cancel   bool      `json:"cancel,omitempty"`
	Once     bool      `json:"once,omitempty"`
	Attempt  *Attempt  `json:"attempt,omitempty"`
	Failures []Failure `json:"failures,omitempty"`
	Unsaved  bool      `json:"unsaved,omitempty"`
	LostAt   time.Time `json:"lost-at,omitzero"`
}

// LaneState is one team's part of a queue as the dump shows it.
type TeamQueueState struct {
	TeamQueue
	Class   place.Class `json:"class"`
	Waiting int         `json:"waiting"`
	Running int         `json:"running"`
}

// Dump is the controller's whole state, in a stable order.
type Dump struct {
	Shard            string           `json:"shard"`
	Epoch            uint64           `json:"epoch"`
	Superseded       bool             `json:"deposed"`
	UnresolvedWrites int              `json:"unsettled-rows"`
	PendingWrites    int              `json:"unwritten-rows"`
	TeamQueues       []TeamQueueState `json:"lanes"`
	Tasks            []Summary        `json:"tasks"`
}

// Dump returns the state; ended tasks are left out.
func (c *Controller) Dump() Dump {
	dump := Dump{Shard: c.cfg.Shard, Epoch: c.cfg.Epoch, Superseded: c.deposed, TeamQueues: []TeamQueueState{}, Tasks: []Summary{}}
	if c.batch != nil {
		dump.UnresolvedWrites = len(c.batch.items)
	}
	for rank, class := range place.Classes() {
		dump.PendingWrites += len(c.dirty[rank])
		for _, key := range c.lanes[class].keys {
			dump.TeamQueues = append(dump.TeamQueues, TeamQueueState{
				TeamQueue: key, Class: class, Waiting: c.lanes[class].len(key), Running: c.running[key],
			})
		}
	}
	dump.TeamQueues = append(dump.TeamQueues, c.runningLanes(dump.TeamQueues)...)
	for _, name := range sortedNames(c.items) {
		it := c.items[name]
		if it.record.State.Final() {
			continue
		}
		dump.Tasks = append(dump.Tasks, Summary{
			Task:     name,
			Team:     it.record.Team,
			State:    it.record.State,
			Cancel:   it.record.Cancel,
			Once:     it.record.Once,
			Attempt:  it.record.Attempt,
			Failures: it.record.Failures,
			Unsaved:  it.next != nil,
			LostAt:   it.lostAt,
		})
	}
	return dump
}

// runningLanes returns the lanes in which tasks run and none waits, which the
// waiting lanes leave out.
func (c *Controller) runningLanes(listed []TeamQueueState) []TeamQueueState {
	known := make(map[TeamQueue]bool, len(listed))
	for _, lane := range listed {
		known[lane.TeamQueue] = true
	}
	var lanes []TeamQueueState
	for _, key := range slices.SortedFunc(maps.Keys(c.running), compareLanes) {
		if !known[key] {
			lanes = append(lanes, TeamQueueState{TeamQueue: key, Running: c.running[key]})
		}
	}
	return lanes
}
