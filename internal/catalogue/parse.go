package catalogue

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/bytesize"
	"github.com/lovagedyke/lovagedyke/internal/inifile"
	"github.com/lovagedyke/lovagedyke/internal/problem"
)

// maxFileSize bounds a catalogue file, in bytes.
const maxFileSize = 16 << 20

var (
	sectionKinds    = []string{"team", string(KindService), string(KindQueue)}
	teamFieldNames  = []string{"upper-limit", "share"}
	entryFieldNames = []string{"team", "class", "open", "shares", "limit", "max-body", "deadline", "longest-run", "availability", "pool"}
)

// Parse reads a catalogue from INI with the sections [team <name>],
// [service <name>] and [queue <name>]. It reports every mistake with its line
// and name as the file. The catalogue is valid if there are no problems.
func Parse(name string, r io.Reader) (Catalogue, Problems) {
	content, err := io.ReadAll(io.LimitReader(r, maxFileSize+1))
	if err != nil {
		return New(), Problems{{File: name, Message: fmt.Sprintf("is unreadable: %v", err)}}
	}
	if len(content) > maxFileSize {
		return New(), Problems{{File: name, Message: "is too large", Want: fmt.Sprintf("at most %d bytes", maxFileSize)}}
	}
	file, problems := inifile.Parse(name, content)
	p := parser{catalogue: New(), lines: make(map[string]int), file: name, problems: problems}
	for _, section := range file.Sections {
		p.readSection(section)
	}
	p.applyDefaultsAndValidate()
	return p.catalogue, p.problems
}

// parser builds a catalogue from sections and records the line of each field.
type parser struct {
	catalogue Catalogue
	file      string
	section   inifile.Section
	kind      string
	name      string
	lines     map[string]int
	problems  Problems
}

func (p *parser) readSection(section inifile.Section) {
	kind, name, _ := strings.Cut(section.Name, " ")
	p.section, p.kind, p.name = section, kind, name
	if !slices.Contains(sectionKinds, kind) {
		p.report(section.Line, "["+section.Name+"]", fmt.Sprintf("has the unknown kind %q", kind), problem.Unknown(kind, sectionKinds))
		return
	}
	p.lines[fieldName(kind, name, "name")] = section.Line
	known := entryFieldNames
	if kind == "team" {
		known = teamFieldNames
	}
	for _, key := range section.Keys {
		p.lines[fieldName(kind, name, key.Name)] = key.Line
		if !slices.Contains(known, key.Name) {
			p.report(key.Line, fieldName(kind, name, key.Name), "is unknown", problem.Unknown(key.Name, known))
		}
	}
	if kind == "team" {
		p.readTeam()
		return
	}
	p.readEntry()
}

func (p *parser) readTeam() {
	if _, declared := p.section.Get("upper-limit"); !declared {
		p.report(p.section.Line, fieldName(p.kind, p.name, "upper-limit"), "is missing", "how much the team may have running across the fleet")
	}
	p.catalogue.Teams[p.name] = Team{
		Name:       p.name,
		UpperLimit: parseField(p, "upper-limit", 0, "a whole number", strconv.Atoi),
		Share:      parseField(p, "share", defaultShare, "a whole number from 1 on", positive(strconv.Atoi)),
	}
}

func (p *parser) readEntry() {
	if other, repeated := p.catalogue.Entries[p.name]; repeated && string(other.Kind) != p.kind {
		p.report(p.section.Line, fieldName(p.kind, p.name, ""), fmt.Sprintf("is already a %s", other.Kind), "one service or queue a name")
		return
	}
	e := Entry{
		Name:         p.name,
		Kind:         Kind(p.kind),
		Team:         parseField(p, "team", "", "a team", parseText),
		Class:        Class(parseField(p, "class", string(ClassNormal), "urgent, normal or batch", parseText)),
		Open:         parseField(p, "open", false, "true or false", strconv.ParseBool),
		Shares:       parseField(p, "shares", nil, "<team>:<weight>, separated by commas", parseShares),
		Limit:        parseField(p, "limit", 0, "a whole number", strconv.Atoi),
		MaxBody:      parseField(p, "max-body", defaultMaxBody, "a size such as 512KiB or 4MiB", positive(bytesize.Parse)),
		Deadline:     parseField(p, "deadline", defaultDeadline, "a duration such as 2s or 500ms", positive(time.ParseDuration)),
		LongestRun:   parseField(p, "longest-run", 0, "a duration such as 2s or 10m", positive(time.ParseDuration)),
		Availability: parseField(p, "availability", defaultAvailability, "a number such as 0.999", positive(parseFloat)),
		Pool:         parseField(p, "pool", defaultPool, "a pool", parseText),
	}
	p.catalogue.Entries[p.name] = e
}

// parseField returns the value of a field, or the fallback if it is missing or
// malformed. A malformed value is reported as a problem.
func parseField[T any](p *parser, name string, fallback T, want string, parse func(string) (T, error)) T {
	value, declared := p.section.Get(name)
	if !declared {
		return fallback
	}
	parsed, err := parse(value)
	if err != nil {
		p.report(p.section.LineOf(name), fieldName(p.kind, p.name, name), fmt.Sprintf("%q is malformed", value), want)
		return fallback
	}
	return parsed
}

// applyDefaultsAndValidate runs after all sections are read, since defaults of
// entries depend on the teams.
func (p *parser) applyDefaultsAndValidate() {
	for name, entry := range p.catalogue.Entries {
		p.catalogue.Entries[name] = withEntryDefaults(entry, p.catalogue.Teams)
	}
	for _, found := range p.catalogue.Validate() {
		found.File = p.file
		found.Line = p.lineOf(found.Field)
		p.problems.Add(found)
	}
	p.problems.Sort()
}

// lineOf returns the line of a field, or of its section if it is missing.
func (p *parser) lineOf(field string) int {
	if line, ok := p.lines[field]; ok {
		return line
	}
	section, _, _ := strings.Cut(field, "] ")
	return p.lines[section+"] name"]
}

func (p *parser) report(line int, field, message, want string) {
	p.problems.Add(Problem{File: p.file, Line: line, Field: field, Message: message, Want: want})
}

func parseText(text string) (string, error) {
	if text == "" {
		return "", errors.New("value is empty")
	}
	return text, nil
}

// positive wraps parse to reject values that are not above zero, since zero
// stands for a missing value.
func positive[T cmp.Ordered](parse func(string) (T, error)) func(string) (T, error) {
	return func(text string) (T, error) {
		var zero T
		value, err := parse(text)
		if err == nil && !(value > zero) {
			return zero, fmt.Errorf("value %q is not above zero", text)
		}
		return value, err
	}
}

func parseShares(text string) (map[string]int, error) {
	shares := make(map[string]int)
	for part := range strings.SplitSeq(text, ",") {
		team, weight, _ := strings.Cut(strings.TrimSpace(part), ":")
		n, err := strconv.Atoi(strings.TrimSpace(weight))
		team = strings.TrimSpace(team)
		if _, repeated := shares[team]; err != nil || repeated {
			return nil, fmt.Errorf("share %q is malformed", part)
		}
		shares[team] = n
	}
	return shares, nil
}

func parseFloat(text string) (float64, error) {
	return strconv.ParseFloat(text, 64)
}
