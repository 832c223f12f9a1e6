package fleet

import (
	"slices"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// allTasks lists the indexes of the tasks of the largest step. Steps share it while none of their
// tasks has started: a job of few bytes may have very many. It is never changed.
var allTasks = func() []int {
	indexes := make([]int, job.MaxTasks)
	for index := range indexes {
		indexes[index] = index
	}
	return indexes
}()

// openTasks returns the tasks of a step that are neither done nor active.
func (j *jobState) openTasks(key job.StepKey, count int) []int {
	// Without room to append in place.
	open := allTasks[:count:count]
	isShared := true
	for index := range count {
		task := j.taskAt(key, index)
		isOpen := !j.progress.IsDone(task) && len(j.active[task]) == 0
		switch {
		case isOpen && !isShared:
			open = append(open, index)
		case !isOpen && isShared:
			open, isShared = slices.Clone(open[:index]), false
		}
	}
	return open
}

// removePending removes a task from the pending ones.
func (s *stepState) removePending(index int) {
	at := slices.Index(s.pending, index)
	if at < 0 {
		return
	}
	if &s.pending[0] == &allTasks[s.pending[0]] {
		s.pending = slices.Clone(s.pending)
	}
	s.pending = slices.Delete(s.pending, at, at+1)
}
