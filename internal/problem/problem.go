// Package problem collects the problems found in files and requests.
//
// # Usage
//
// Checks add every problem to a List instead of stopping at the first. The caller
// returns the list as one error at the end:
//
//	var found problem.List
//	found.Add(problem.Problem{File: "catalogue.ini", Line: 3, Field: "limit", Message: "is negative", Want: "0 or more"})
//	return found.Err()
package problem

import (
	"fmt"
	"slices"
	"strings"
)

// Problem describes one invalid value. File and Line are empty if the input is not
// a file.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Want    string `json:"want,omitempty"`
}

// String returns "file:line: field message (want ...)", without the empty parts.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		if p.Line > 0 {
			fmt.Fprintf(&b, ":%d", p.Line)
		}
		b.WriteString(": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + " ")
	}
	b.WriteString(p.Message)
	if p.Want != "" {
		fmt.Fprintf(&b, " (want %s)", p.Want)
	}
	return b.String()
}

// List holds problems in the order in which they were found.
type List []Problem

// Add appends a problem.
func (l *List) Add(p Problem) {
	*l = append(*l, p)
}

// Sort orders the list by file and line.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Problem) int {
		if order := strings.Compare(a.File, b.File); order != 0 {
			return order
		}
		return a.Line - b.Line
	})
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error implements error. It returns one line for each problem.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, p := range l {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Unknown returns the Want text for an unknown name: the nearest known name, or all
// known names if none is near.
func Unknown(name string, known []string) string {
	if nearest, ok := Nearest(name, known); ok {
		return fmt.Sprintf("%q", nearest)
	}
	if len(known) == 0 {
		return "none is defined"
	}
	sorted := slices.Sorted(slices.Values(known))
	return "one of " + strings.Join(sorted, ", ")
}

// Nearest returns the known name with the smallest edit distance to name. It
// returns false if more than half of the name's bytes would have to change.
func Nearest(name string, known []string) (string, bool) {
	best, bestDistance := "", len(name)/2+1
	for _, candidate := range slices.Sorted(slices.Values(known)) {
		if d := editDistance(name, candidate); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best, best != ""
}

// editDistance returns the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
