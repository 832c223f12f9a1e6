package main

import (
	"bytes"
	"os"

	"github.com/lovagedyke/lovagedyke/internal/policycheck"
	"github.com/lovagedyke/lovagedyke/internal/problem"
	"github.com/lovagedyke/lovagedyke/platform"
)

// Codes of findings that concern a file as a whole, or files of other formats.
const (
	codeUnreadable = "unreadable"
	codeEmpty      = "empty"
	codeUnknownKey = "unknown-key"
	codeMistake    = "mistake"
)

// checkPolicy checks a platform configuration, and compares it with the one in force unless
// inForce is empty.
func checkPolicy(file, inForce string) []policycheck.Finding {
	next, findings, ok := readPolicy(file)
	if ok {
		findings = append(findings, policycheck.Check(next)...)
	}
	if inForce == "" {
		return findings
	}
	current, found, currentOK := readPolicy(inForce)
	findings = append(findings, found...)
	if ok && currentOK {
		findings = append(findings, policycheck.Differences(current, next)...)
	}
	return findings
}

// readPolicy reads a configuration. It returns false if the file cannot be decoded.
func readPolicy(file string) (policycheck.Document, []policycheck.Finding, bool) {
	document := policycheck.Document{Source: policycheck.Source{File: file, KeyPath: platform.PolicyKeyPath}}
	wholeFile := func(code, reason string) []policycheck.Finding {
		return []policycheck.Finding{{File: file, Severity: policycheck.SeverityError, Code: code, Reason: reason}}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return document, wholeFile(codeUnreadable, err.Error()), false
	}
	if len(bytes.TrimSpace(data)) == 0 {
		return document, wholeFile(codeEmpty, "the file is empty"), false
	}
	document.Config, err = platform.DecodePolicyConfig(data)
	if err != nil {
		return document, wholeFile(codeUnreadable, err.Error()), false
	}
	unknown, err := platform.UnknownPolicyKeys(data)
	if err != nil {
		return document, wholeFile(codeUnreadable, err.Error()), false
	}
	findings := unknownKeyFindings(file, unknown)
	if config := document.Config; len(config.Queues)+len(config.Pools)+len(config.Accounts) == 0 {
		return document, append(findings, wholeFile(codeEmpty, "the file has no queues, pools or accounts")...), false
	}
	return document, findings, true
}

func unknownKeyFindings(file string, keys []string) []policycheck.Finding {
	var findings []policycheck.Finding
	for _, key := range keys {
		findings = append(findings, policycheck.Finding{
			File: file, Key: key, Severity: policycheck.SeverityError, Code: codeUnknownKey,
			Reason: "the key is unknown: it is misspelt, or the file is newer than this tool supports",
		})
	}
	return findings
}

// mistakeFindings converts the problems of settings and catalogue files.
func mistakeFindings(problems problem.List) []policycheck.Finding {
	var findings []policycheck.Finding
	for _, p := range problems {
		reason := problem.Problem{Message: p.Message, Want: p.Want}.String()
		findings = append(findings, policycheck.Finding{
			File: p.File, Line: p.Line, Key: p.Field, Severity: policycheck.SeverityError, Code: codeMistake, Reason: reason,
		})
	}
	return findings
}
