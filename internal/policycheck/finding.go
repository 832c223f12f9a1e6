// Package policycheck finds faults in an operators' configuration before it is submitted, and says
// what a new version changes against the one in force. It performs no I/O, and names keys only
// through its Source, which knows the operators' format.
//
// # Usage
//
//	next := policycheck.Document{Config: config, Source: policycheck.Source{File: "next.json", KeyPath: platform.PolicyKeyPath}}
//	findings := policycheck.Check(next)
//	findings = append(findings, policycheck.Differences(inForce, next)...)
package policycheck

import (
	"fmt"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// Severity says what a finding means for the configuration.
type Severity string

// Severities.
const (
	// SeverityError is for a configuration that must not be submitted.
	SeverityError Severity = "error"
	// SeverityWarning is for an entry that has no effect, or an unusual one.
	SeverityWarning Severity = "warning"
	// SeverityChange is for a difference from the version in force.
	SeverityChange Severity = "change"
)

// Finding is a fault of a configuration, or a difference from the version in force.
type Finding struct {
	File string `json:"file"`
	// Line is 0 if it is not known.
	Line int `json:"line,omitempty"`
	// Key is the path of the key in the operators' format, or empty for the whole file.
	Key      string   `json:"key,omitempty"`
	Severity Severity `json:"severity"`
	// Code identifies the kind of the finding, for scripts.
	Code   string `json:"code"`
	Reason string `json:"reason"`
}

// String returns "file:line: key: severity: reason (code)", without the empty parts.
func (f Finding) String() string {
	text := f.File
	if f.Line > 0 {
		text += fmt.Sprintf(":%d", f.Line)
	}
	if f.Key != "" {
		text += ": " + f.Key
	}
	return fmt.Sprintf("%s: %s: %s (%s)", text, f.Severity, f.Reason, f.Code)
}

// Section is a part of a configuration.
type Section int

// Sections. SectionVersion and SectionLimits are single objects, the others lists.
const (
	SectionVersion Section = iota
	SectionLimits
	SectionQueues
	SectionPools
	SectionAccounts
)

// Field is a field of an entry. FieldNone stands for the entry itself.
type Field int

// Fields.
const (
	FieldNone Field = iota
	FieldName
	FieldHostName
	FieldPathPrefix
	FieldPool
	FieldOpen
	FieldPriority
	FieldMaxAttempts
	FieldStretch
	FieldTarget
	FieldTimeout
	FieldAdvice
	FieldGuarded
	FieldSpare
	FieldKeys
	FieldWeight
	FieldCap
	FieldCapCPU
	FieldCapMemory
	FieldCapGPU
	FieldHeaderBytes
	FieldBodyBytes
	FieldHeaderTimeout
	FieldIdleTimeout
)

// wholeSection is the Index of a location that is no single entry of its list.
const wholeSection = -1

// Location is the place of a finding in a configuration.
type Location struct {
	Section Section
	// Index counts the entries of a list from 0; it is negative for the whole list.
	Index int
	Field Field
	// Item counts the keys of an account from 0.
	Item int
}

// Source describes the file of a configuration.
type Source struct {
	File string
	// KeyPath returns the path of a location in the operators' format.
	KeyPath func(Location) string
	// SmallestTasks holds the resources of the smallest task of each account whose tasks are known.
	SmallestTasks map[string]policy.Resources
}

// Document is a decoded configuration and its source. The lists of its Config hold duplicates,
// which a policy.Policy does not.
type Document struct {
	Config policy.Config
	Source Source
}

// finding returns a finding at a location of the document.
func (d Document) finding(at Location, severity Severity, code, format string, args ...any) Finding {
	return Finding{
		File: d.Source.File, Key: d.Source.KeyPath(at), Severity: severity, Code: code,
		Reason: fmt.Sprintf(format, args...),
	}
}
