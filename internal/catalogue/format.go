package catalogue

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/bytesize"
)

// field is one "name = value" line of a section.
type field struct {
	name, value string
}

// Format returns the catalogue in the INI format that Parse reads.
func Format(c Catalogue) []byte {
	var b strings.Builder
	for _, name := range c.TeamNames() {
		writeSection(&b, "team", name, teamFields(c.Teams[name], true))
	}
	for _, name := range c.EntryNames() {
		entry := c.Entries[name]
		writeSection(&b, string(entry.Kind), name, entryFields(entry, true)[1:])
	}
	return []byte(b.String())
}

func writeSection(b *strings.Builder, kind, name string, fields []field) {
	if b.Len() > 0 {
		b.WriteString("\n")
	}
	fmt.Fprintf(b, "[%s %s]\n", kind, name)
	for _, f := range fields {
		fmt.Fprintf(b, "%s = %s\n", f.name, f.value)
	}
}

// teamFields returns the team's fields, or nil if the team doesn't exist.
func teamFields(t Team, exists bool) []field {
	if !exists {
		return nil
	}
	return []field{
		{"upper-limit", strconv.Itoa(t.UpperLimit)},
		{"share", strconv.Itoa(t.Share)},
	}
}

// entryFields returns the entry's fields, or nil if the entry doesn't exist.
// The kind comes first, so that Format can omit it: in a file it is part of the
// section's name.
func entryFields(e Entry, exists bool) []field {
	if !exists {
		return nil
	}
	return []field{
		{"kind", string(e.Kind)},
		{"team", e.Team},
		{"class", string(e.Class)},
		{"open", strconv.FormatBool(e.Open)},
		{"shares", formatShares(e.Shares)},
		{"limit", strconv.Itoa(e.Limit)},
		{"max-body", bytesize.Format(e.MaxBody)},
		{"deadline", formatDuration(e.Deadline)},
		{"longest-run", formatDuration(e.LongestRun)},
		{"availability", strconv.FormatFloat(e.Availability, 'g', -1, 64)},
		{"pool", e.Pool},
	}
}

func formatShares(shares map[string]int) string {
	parts := make([]string, 0, len(shares))
	for _, team := range slices.Sorted(maps.Keys(shares)) {
		parts = append(parts, fmt.Sprintf("%s:%d", team, shares[team]))
	}
	return strings.Join(parts, ", ")
}

// formatDuration omits the trailing zero units of time.Duration.String.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
