// Package runtimes predicts how long tasks take. It does no I/O and reads no clock.
package runtimes
