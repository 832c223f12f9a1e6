package overload

import (
	"slices"
)

// Class is the class of a job's size within its queue.
type Class int

const (
	// Small jobs are those below the largest three tenths of a queue.
	Small Class = iota
	// Large jobs are the fifth below the largest tenth.
	Large
	// Largest jobs are the largest tenth.
	Largest

	classCount
)

const (
	// largeQuantile and largestQuantile separate the classes.
	largeQuantile, largestQuantile = 0.7, 0.9
	// defaultWindow is the number of recent jobs that sizes are compared with.
	defaultWindow = 200
	// callerShare is the part of a mean job's value that stands for its waiting caller; the rest
	// grows with the work that the job does.
	callerShare = 0.5
	// favourBelow is the ratio of the rates at which a class and its queue start in time, below
	// which the class is favoured. The bound that callers are promised is a half.
	favourBelow = 0.7
	// countDecay is the factor by which earlier counts lose weight with each job.
	countDecay = 1 - 1.0/100
)

// Config holds the arguments of New.
type Config struct {
	// Window is the number of recent jobs that sizes are compared with; 0 means 200.
	Window int
}

// Sizes compares the jobs of a queue by the capacity that they need, and how often each class of
// sizes starts in time.
type Sizes struct {
	window int
	// recent holds the sizes of recent jobs in order of arrival, sorted the same by size.
	recent, sorted []float64
	sum            float64
	// decided and inTime count, by class and decayed, jobs and those that started in time.
	decided, inTime [classCount]float64
}

// New returns the sizes of a queue without jobs.
func New(config Config) *Sizes {
	window := config.Window
	if window <= 0 {
		window = defaultWindow
	}
	return &Sizes{window: window}
}

// Observe adds a job that needs the given host-seconds, and returns its class.
func (s *Sizes) Observe(hostSeconds float64) Class {
	if len(s.recent) == s.window {
		oldest := s.recent[0]
		s.recent = slices.Delete(s.recent, 0, 1)
		at, _ := slices.BinarySearch(s.sorted, oldest)
		s.sorted = slices.Delete(s.sorted, at, at+1)
		s.sum -= oldest
	}
	s.recent = append(s.recent, hostSeconds)
	at, _ := slices.BinarySearch(s.sorted, hostSeconds)
	s.sorted = slices.Insert(s.sorted, at, hostSeconds)
	s.sum += hostSeconds
	rank := float64(at) / float64(len(s.sorted))
	switch {
	case rank >= largestQuantile:
		return Largest
	case rank >= largeQuantile:
		return Large
	default:
		return Small
	}
}

// Value returns what a job of the given size is worth to callers, relative to a mean one.
func (s *Sizes) Value(hostSeconds float64) float64 {
	if s.sum <= 0 {
		return 1
	}
	mean := s.sum / float64(len(s.recent))
	return callerShare + (1-callerShare)*hostSeconds/mean
}

// Count records whether a job of a class started in time.
func (s *Sizes) Count(class Class, inTime bool) {
	for c := range s.decided {
		s.decided[c] *= countDecay
		s.inTime[c] *= countDecay
	}
	s.decided[class]++
	if inTime {
		s.inTime[class]++
	}
}

// IsFavoured reports whether a class has started in time so much less often than its queue that
// its jobs go first.
func (s *Sizes) IsFavoured(class Class) bool {
	var decided, inTime float64
	for c := range s.decided {
		decided += s.decided[c]
		inTime += s.inTime[c]
	}
	if class == Small || decided == 0 || s.decided[class] == 0 {
		return false
	}
	return s.inTime[class]/s.decided[class] < favourBelow*inTime/decided
}
