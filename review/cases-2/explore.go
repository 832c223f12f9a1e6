//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	harness "github.com/lovagedyke/lovagedyke/review/harness-2"
)

func init() { cases["explore"] = explore }

// explore plays jobs of all kinds under disruptions, both drawn by the seed in SEED, and reports each rule that breaks.
// It is no case. KIND narrows what is drawn: "unguarded" runners take whatever they are told to; "leader", "crash", "cfg" and
// "cloud" draw disruptions of that kind alone; "nosame" leaves restarts under an ID out, "nowave" waves; "gangs" draws gangs.
func explore(o options) int {
	R := rand.New(rand.NewPCG(uint64(o.seed), 1))
	kind := os.Getenv("KIND")
	advice := map[string]int{"decide_ms": 20, "each_ms": 2, "valid_ms": 3000}
	routes := []harness.Route{
		{Name: "r-a", Host: "a.example", Prefix: "/a/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 600, Priority: 0, Service: "alpha", MaxAttempts: 3, Stretch: 1.6},
		{Name: "r-b", Host: "a.example", Prefix: "/b/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 600, Priority: 1, Service: "beta", MaxAttempts: 3, Stretch: 1.6},
		{Name: "r-c", Host: "a.example", Prefix: "/c/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 600, Priority: 1, Service: "beta", MaxAttempts: 3, Stretch: 1.6, Advice: &advice},
	}
	p, err := harness.New(harness.Config{
		Pools:   []harness.Pool{{Name: "alpha", Runners: 9, Kinds: []string{"a", "b"}}, {Name: "beta", Runners: 9, Kinds: []string{"a", "b", "c"}}, {Name: "off", Runners: 6, Spare: true, Kinds: []string{"a", "b"}}},
		Routes:  routes,
		Tenants: []harness.Tenant{{Name: "t1", Keys: []string{"k1"}, Weight: 50, Cap: harness.Amount{CPU: 90000}}, {Name: "t2", Keys: []string{"k2"}, Weight: 50}},
		Guarded: !strings.Contains(kind, "unguarded"), Record: o.record,
	})
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer p.Close()
	nodes, err := p.Nodes(o.program, o.folder, 4, nil)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	for _, n := range nodes {
		if err := n.Start(); err != nil {
			fmt.Println(err)
			return 2
		}
		defer n.Kill()
	}
	time.Sleep(4 * time.Second)
	ctx := context.Background()
	var wg sync.WaitGroup
	var jobs []*harness.Job
	end := time.Now().Add(40 * time.Second)
	if o.trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			RR := rand.New(rand.NewPCG(uint64(o.seed), 2))
			for time.Now().Before(end.Add(-6 * time.Second)) {
				time.Sleep(time.Duration(1500+RR.IntN(3500)) * time.Millisecond)
				what := RR.IntN(13)
				if strings.Contains(kind, "cloud") {
					what = []int{0, 7, 10, 10, 11, 12, 2}[RR.IntN(7)]
				}
				if strings.Contains(kind, "nosame") && (what == 4 || what == 5) {
					what = []int{0, 6}[RR.IntN(2)]
				}
				if strings.Contains(kind, "leader") {
					what = 0
				}
				if strings.Contains(kind, "crash") {
					what = 1
				}
				if strings.Contains(kind, "cfg") {
					what = 3
				}
				switch what {
				case 0:
					if l := p.Leader(nodes); l != nil {
						p.Note("kill leader %s", l.Name)
						l.Kill()
						time.Sleep(500 * time.Millisecond)
						_ = l.Start()
					}
				case 1:
					p.Runners[RR.IntN(len(p.Runners))].Crash(time.Duration(500+RR.IntN(3000)) * time.Millisecond)
				case 2:
					p.Note("store down")
					p.Store.SetDown(true)
					time.Sleep(time.Duration(500+RR.IntN(2500)) * time.Millisecond)
					p.Store.SetDown(false)
				case 4, 5:
					p.Runners[RR.IntN(len(p.Runners))].CrashKeepingID(time.Duration(300+RR.IntN(3000)) * time.Millisecond)
				case 6:
					p.Runners[RR.IntN(len(p.Runners))].Cut(time.Duration(1000+RR.IntN(5000)) * time.Millisecond)
				case 7:
					if l := p.Leader(nodes); l != nil {
						p.Note("freeze leader %s", l.Name)
						l.Signal(syscall.SIGSTOP)
						time.Sleep(time.Duration(1000+RR.IntN(2500)) * time.Millisecond)
						l.Signal(syscall.SIGCONT)
					}
				case 8:
					p.Trouble(.055, .02)
					time.Sleep(3 * time.Second)
					p.Trouble(0, 0)
				case 9:
					p.Trouble(.055, 0)
				case 10, 11, 12:
					p.CloudTrouble([]float64{.3, 0, 0}[what-10], []time.Duration{0, 700 * time.Millisecond, 0}[what-10], what == 12)
					time.Sleep(time.Duration(1000+RR.IntN(4000)) * time.Millisecond)
					p.CloudTrouble(0, 0, false)
				case 3:
					p.Configure(func(c *harness.Config) {})
				}
			}
		}()
	}
	for i := range 8 {
		job := &harness.Job{ID: harness.JobID(fmt.Sprintf("%04x", o.seed), 4096+i), Spec: "lasting", Route: routes[i%2].Name, Tenant: 1, Steps: []harness.Step{{
			Count: 5, CPU: 1300, Memory: 6000, EstimateMS: 700, Persistent: true, MayMiss: 1, TargetMS: 100,
		}}}
		jobs = append(jobs, job)
		p.Submit(ctx, nodes, i, job)
	}
	if o.trouble && !strings.Contains(kind, "nowave") {
		for w := range 3 {
			time.AfterFunc(time.Duration(3+14*w)*time.Second, func() {
				var machines []string
				for _, r := range p.Runners[:18] {
					machines = append(machines, r.Machine)
				}
				p.PutWave(w+1, machines, 12, 4)
			})
		}
	}
	for i := 0; time.Now().Before(end); i++ {
		job := &harness.Job{ID: harness.JobID(fmt.Sprintf("%04x", o.seed), i+1), Spec: fmt.Sprintf("spec %d", i), Route: routes[R.IntN(3)].Name, Tenant: R.IntN(2)}
		steps := 1 + R.IntN(3)
		for s := range steps {
			step := harness.Step{Count: 1 + R.IntN(8), CPU: 500 + R.IntN(3000), Memory: 1000 + R.IntN(6000), EstimateMS: 600, Takes: time.Duration(200+R.IntN(1500)) * time.Millisecond}
			if s > 0 {
				step.After = []int{s - 1}
			}
			switch R.IntN(6) {
			case 0, 1:
				step.Gang = true
				step.Checkpoint = R.IntN(2) == 0
				step.SameRack = R.IntN(3) == 0
				if step.SameRack {
					step.Count = min(step.Count, 4)
				}
				step.Takes *= 2
			case 2:
				step.Speculative = true
			case 3:
				step.Requires = "b"
			case 4:
				step.MaxPer = 1 + R.IntN(2)
				step.Count = min(step.Count, 5)
			}
			if R.IntN(12) == 0 && !step.Gang {
				step.Fails = 1
			}
			job.Steps = append(job.Steps, step)
		}
		if strings.Contains(kind, "gangs") {
			for n := range job.Steps {
				step := &job.Steps[n]
				step.Gang, step.Speculative, step.MaxPer, step.Requires = true, false, 0, ""
				step.Count = 2 + R.IntN(14)
				if R.IntN(8) == 0 {
					step.Fails = 1
				}
			}
		}
		if R.IntN(4) == 0 {
			job.Times, job.StartAtMS, job.IntervalMS = 2+R.IntN(4), time.Now().UnixMilli()+int64(R.IntN(1500)), int64(300+R.IntN(2000))
		}
		jobs = append(jobs, job)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if st := p.Submit(ctx, nodes, i, job); st/100 == 2 && i%17 == 5 {
				time.Sleep(700 * time.Millisecond)
				p.Cancel(ctx, nodes, i+1, job)
			}
		}()
		time.Sleep(time.Duration(100+R.IntN(250)) * time.Millisecond)
	}
	wg.Wait()
	p.Trouble(0, 0)
	time.Sleep(14 * time.Second)
	left := map[string]int{}
	for _, job := range jobs {
		if job.Steps[0].Persistent {
			if status, state := p.State(ctx, nodes[1], job); state != "running" {
				p.Note("LASTING %s %d %s", job.ID, status, state)
				fmt.Println("lasting", job.ID, status, state)
			}
			continue
		}
		status, state := p.State(ctx, nodes[0], job)
		left[fmt.Sprintf("%d %s", status, state)]++
		if unfinished := p.Unfinished(job); state == "complete" && unfinished > 0 {
			p.Violate("MIXED", "%s complete with %d unfinished", job.ID, unfinished)
		} else if unfinished > 0 && state != "cancelled" && status == 200 {
			p.Note("UNFINISHED %s %s %d tasks", job.ID, state, unfinished)
			fmt.Println("unfinished", job.ID, state, unfinished)
		}
	}
	lines, violations := p.Summary()
	fmt.Println(lines, left)
	for _, v := range violations {
		fmt.Println("BROKEN", v)
	}
	if len(violations) > 0 {
		return 1
	}
	return 0
}
