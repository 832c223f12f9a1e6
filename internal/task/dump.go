package task

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
)

// Summary is the dump's entry for an open task, without the body.
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

// TeamQueueState is the dump's entry for a team queue.
type TeamQueueState struct {
	TeamQueue
	Class   place.Class `json:"class"`
	Waiting int         `json:"waiting"`
	Running int         `json:"running"`
}

// Dump is a snapshot of the controller's state, in a stable order.
type Dump struct {
	Shard            string           `json:"shard"`
	Epoch            uint64           `json:"epoch"`
	Superseded       bool             `json:"deposed"`
	UnresolvedWrites int              `json:"unsettled-rows"`
	PendingWrites    int              `json:"unwritten-rows"`
	TeamQueues       []TeamQueueState `json:"lanes"`
	Tasks            []Summary        `json:"tasks"`
}

// Dump returns a snapshot of the state, without ended tasks.
func (c *Controller) Dump() Dump {
	dump := Dump{Shard: c.cfg.Shard, Epoch: c.cfg.Epoch, Superseded: c.superseded, TeamQueues: []TeamQueueState{}, Tasks: []Summary{}}
	if c.batch != nil {
		dump.UnresolvedWrites = len(c.batch.items)
	}
	for rank, class := range place.Classes() {
		dump.PendingWrites += len(c.dirty[rank])
		for _, key := range c.waitingByClass[class].keys {
			dump.TeamQueues = append(dump.TeamQueues, TeamQueueState{
				TeamQueue: key, Class: class, Waiting: c.waitingByClass[class].len(key), Running: c.running[key],
			})
		}
	}
	dump.TeamQueues = append(dump.TeamQueues, c.runningTeamQueues(dump.TeamQueues)...)
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
			Unsaved:  it.pending != nil,
			LostAt:   it.lostAt,
		})
	}
	return dump
}

// runningTeamQueues returns the team queues that have running tasks and are not
// listed yet because no task waits in them.
func (c *Controller) runningTeamQueues(listed []TeamQueueState) []TeamQueueState {
	known := make(map[TeamQueue]bool, len(listed))
	for _, listedQueue := range listed {
		known[listedQueue.TeamQueue] = true
	}
	var queues []TeamQueueState
	for _, key := range slices.SortedFunc(maps.Keys(c.running), compareTeamQueues) {
		if !known[key] {
			queues = append(queues, TeamQueueState{TeamQueue: key, Running: c.running[key]})
		}
	}
	return queues
}
