//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	harness "github.com/lovagedyke/lovagedyke/review/harness-2"
)

const (
	// startTime is how long nodes have before traffic starts, as in a small deployment.
	startTime = 10 * time.Second
	// couldNotRun is the exit status of a case that could not run.
	couldNotRun = 2
)

// scene is a small deployment with its nodes.
type scene struct {
	*harness.Platform
	nodes []*harness.Node
}

// newScene starts the platform and the nodes, and waits until they take traffic.
func newScene(o options, config harness.Config, nodes int) (*scene, error) {
	config.Record = o.record
	platform, err := harness.New(config)
	if err != nil {
		return nil, err
	}
	s := &scene{Platform: platform}
	if s.nodes, err = platform.Nodes(o.program, o.folder, nodes, nil); err != nil {
		s.close()
		return nil, err
	}
	for _, node := range s.nodes {
		if err := node.Start(); err != nil {
			s.close()
			return nil, err
		}
	}
	time.Sleep(startTime)
	for _, node := range s.nodes {
		if !node.IsReady() {
			s.close()
			return nil, fmt.Errorf("%s is not ready", node.Name)
		}
	}
	return s, nil
}

// close ends all processes that the scene started.
func (s *scene) close() {
	for _, node := range s.nodes {
		node.Kill()
	}
	s.Close()
}

// report prints and records the outcome, and returns the exit status, which tells whether a rule was broken.
func (s *scene) report(rule string) int {
	counts, violations := s.Summary()
	for _, count := range counts {
		s.Note("count %s", count)
	}
	isBroken := false
	for _, violation := range violations {
		fmt.Println("BROKEN", violation)
		isBroken = isBroken || strings.HasPrefix(violation, rule+" ")
	}
	if isBroken {
		return 1
	}
	fmt.Println(rule, "held")
	return 0
}

// stateOf asks the nodes in turn for a job's state until one tells.
func (s *scene) stateOf(job *harness.Job) (int, string) {
	for attempt := range 10 {
		status, state := s.State(context.Background(), s.nodes[attempt%len(s.nodes)], job)
		if status == 200 || status == 410 {
			return status, state
		}
		time.Sleep(300 * time.Millisecond)
	}
	return 0, ""
}
