package task_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

const benchWorkers = 63 // 1,700 workers in 27 pools

// newLoaded returns a controller with running tasks on a pool's workers, and the
// bytes of memory that each task takes.
func newLoaded(b *testing.B, now time.Time, tasks int) (*task.Controller, float64) {
	b.Helper()
	rows := make([]table.Row, tasks)
	for i := range rows {
		s := spec(fmt.Sprintf("task-%05d", i), place.Normal, 0.1)
		s.Body = make([]byte, 200)
		record := task.Record{
			Spec: s, State: task.Running, Ran: task.RanYes, Attempts: 1, Submitted: now, Changed: now,
			Attempt: &task.Attempt{Number: 1, Worker: fmt.Sprintf("worker-%02d", i%benchWorkers), Incarnation: "a", PlacedAt: now},
		}
		value, err := json.Marshal(record)
		if err != nil {
			b.Fatal(err)
		}
		rows[i] = table.Row{Key: task.Key(queue, s.ID), Value: value, Version: 1}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	controller := task.New(task.Config{Shard: "pool-a", Epoch: 1, Placer: place.New(place.Config{})})
	for i := range benchWorkers {
		controller.Join(now, place.Worker{Name: fmt.Sprintf("worker-%02d", i), Size: place.Size{CPUs: 64, Memory: 64 << 30}}, "a")
	}
	controller.Load(now, rows)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(rows)
	return controller, (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(tasks)
}

// BenchmarkRunningTasks measures a second of a shard whose tasks all run: ten
// steps with the polls that fall due in them.
func BenchmarkRunningTasks(b *testing.B) {
	for _, tasks := range []int{250, 500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("tasks-%d", tasks), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			controller, bytesPerTask := newLoaded(b, now, tasks)
			now = now.Add(10 * time.Minute)
			polls := 0
			for b.Loop() {
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					for _, action := range controller.Step(now) {
						if poll, ok := action.(task.Poll); ok {
							polls++
							controller.HandlePollResult(now, poll, stillRunning(poll))
						}
					}
				}
			}
			b.ReportMetric(float64(polls)/float64(b.N), "polls/second")
			b.ReportMetric(bytesPerTask, "bytes/task")
		})
	}
}

// BenchmarkBacklog measures a second of a full shard with waiting tasks of 130
// teams, in which ten tasks end and ten others take their places. Carrying the
// actions out is not counted.
func BenchmarkBacklog(b *testing.B) {
	for _, waiting := range []int{130, 1300, 2600, 5200} {
		b.Run(fmt.Sprintf("waiting-%d", waiting), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			shard := newFullShard(now, waiting)
			for b.Loop() {
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					shard.endOne(now)
					actions := shard.controller.Step(now)
					b.StopTimer()
					shard.carryOut(now, actions)
					b.StartTimer()
				}
			}
			b.ReportMetric(float64(shard.ended)/float64(b.N), "ended/second")
		})
	}
}

// fullShard is a controller whose workers take every start.
type fullShard struct {
	controller *task.Controller
	store      *table.Memory
	running    []task.Call
	submitted  int
	ended      int
}

func newFullShard(now time.Time, waiting int) *fullShard {
	s := &fullShard{store: table.NewMemory(), controller: task.New(task.Config{
		Shard: "pool-a", Epoch: 1, Fence: table.Condition{Key: "fence"}, Placer: place.New(place.Config{}),
		CommitInterval: time.Millisecond, RetentionPeriod: time.Second,
	})}
	for i := range benchWorkers {
		s.controller.Join(now, place.Worker{Name: fmt.Sprintf("worker-%02d", i), Size: place.Size{CPUs: 16, Memory: 64 << 30}}, "a")
	}
	for range waiting + 8*benchWorkers {
		s.submit(now)
	}
	for range 200 {
		s.carryOut(now, s.controller.Step(now))
		now = now.Add(time.Millisecond)
	}
	return s
}

func (s *fullShard) submit(now time.Time) {
	next := spec(fmt.Sprintf("task-%06d", s.submitted), place.Normal, 2)
	next.Team = fmt.Sprint("team-", s.submitted%130)
	s.submitted++
	s.controller.Submit(now, 0, next)
}

// endOne ends the oldest running task and submits another in its place.
func (s *fullShard) endOne(now time.Time) {
	if len(s.running) == 0 {
		return
	}
	oldest := s.running[0]
	s.running = s.running[1:]
	s.ended++
	s.controller.HandleCallResult(now, oldest, task.Answer{Kind: task.AnswerDone, Incarnation: "a"})
	s.submit(now)
}

func (s *fullShard) carryOut(now time.Time, actions []task.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case task.Commit:
			_ = s.store.Commit(context.Background(), action.Txn)
			s.controller.HandleCommitResult(now, action.Number, task.CommitApplied)
		case task.Read:
			rows, _ := s.store.Get(context.Background(), action.Keys...)
			s.controller.HandleReadResult(now, action.Number, rows, true)
		case task.Call:
			s.running = append(s.running, action)
			s.controller.HandleCallResult(now, action, task.Answer{Kind: task.AnswerRunning, Incarnation: "a"})
		case task.Poll:
			s.controller.HandlePollResult(now, action, stillRunning(action))
		}
	}
}

// stillRunning answers that all polled tasks run.
func stillRunning(poll task.Poll) task.PollResult {
	result := task.PollResult{Kind: task.AnswerRunning, Incarnation: "a"}
	for _, id := range poll.StartIDs {
		result.Answers = append(result.Answers, task.Answer{
			Kind: task.AnswerRunning, StartID: id, Usage: place.Size{CPUs: 0.1, Memory: 1 << 20},
		})
	}
	return result
}
