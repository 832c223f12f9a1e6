package fleet

import (
	"math"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// durationMemory is the weight that an older duration keeps with each new one.
	durationMemory = 1 - 1.0/500
	// guessWeight is how many durations a caller's guess counts for on average,
	// and slopeWeight how many for how far guesses tell long tasks from short.
	guessWeight, slopeWeight = 4, 24
	// guessSpread is the variance of guesses' logarithms that is assumed at first.
	guessSpread = 0.25
	// durationLeast and durationMost bound what is made of a guess.
	durationLeast, durationMost = 50 * time.Millisecond, 5 * time.Minute
	// guessMissing stands in for a missing guess.
	guessMissing = 500 * time.Millisecond
)

// durations learns how long a queue's tasks take from what their callers guess.
// A queue's guesses may be good, or say nothing about the single task: the
// durations' logarithms are fitted by a line over those of the guesses, so that
// guesses count as far as they have told long tasks from short ones.
type durations struct {
	// sums of the weights, the logarithms of guesses and of durations, and products.
	weight, guess, took, guessGuess, guessTook, tookTook float64
}

// durationsOf returns what a queue's tasks have shown.
func (l *Leader) durationsOf(queue string) *durations {
	known, ok := l.durations[queue]
	if !ok {
		known = &durations{}
		l.durations[queue] = known
	}
	return known
}

// note takes a task's guess and how long it took.
func (d *durations) note(guess, took time.Duration) {
	if guess <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(guess.Seconds()), math.Log(took.Seconds())
	add := func(sum *float64, value float64) { *sum = *sum*durationMemory + value }
	add(&d.weight, 1)
	add(&d.guess, x)
	add(&d.took, y)
	add(&d.guessGuess, x*x)
	add(&d.guessTook, x*y)
	add(&d.tookTook, y*y)
}

// line returns the fitted line: the mean guess, the mean duration, and the slope.
func (d *durations) line() (guess, took, slope float64) {
	if d.weight == 0 {
		return 0, 0, 1
	}
	guess, took = d.guess/d.weight, d.took/d.weight
	spread := d.guessGuess/d.weight - guess*guess
	common := d.guessTook/d.weight - guess*took
	prior := slopeWeight * guessSpread
	slope = (d.weight*common + prior) / (d.weight*spread + prior)
	// The guesses are believed on average until there are durations.
	took = (d.weight*took + guessWeight*guess) / (d.weight + guessWeight)
	return guess, took, min(1, max(0, slope))
}

// typical estimates a task's median duration.
func (d *durations) typical(guess time.Duration) time.Duration {
	if guess <= 0 {
		guess = guessMissing
	}
	meanGuess, meanTook, slope := d.line()
	seconds := math.Exp(meanTook + slope*(math.Log(guess.Seconds())-meanGuess))
	return min(durationMost, max(durationLeast, time.Duration(seconds*float64(time.Second))))
}

// mean estimates a task's mean duration, which long ones raise above the median.
func (d *durations) mean(guess time.Duration) time.Duration {
	if d.weight == 0 {
		return d.typical(guess)
	}
	meanGuess, meanTook := d.guess/d.weight, d.took/d.weight
	_, _, slope := d.line()
	spread := d.guessGuess/d.weight - meanGuess*meanGuess
	common := d.guessTook/d.weight - meanGuess*meanTook
	rest := d.tookTook/d.weight - meanTook*meanTook - 2*slope*common + slope*slope*spread
	return time.Duration(float64(d.typical(guess)) * math.Exp(max(0, rest)/2))
}

// durationOf estimates how long a task of a step takes.
func (l *Leader) durationOf(j *jobState, step job.Step) time.Duration {
	return l.durationsOf(j.submission.Queue).typical(step.Estimate)
}
