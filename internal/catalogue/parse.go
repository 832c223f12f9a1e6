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

// largestFile bounds a catalogue file, in bytes.
const largestFile = 16 << 20

var (
	sectionKinds = []string{"team", string(KindService), string(KindQueue)}
	teamNames    = []string{"upper-limit", "share"}
	entryNames   = []string{"team", "class", "open", "shares", "limit", "max-body", "deadline", "longest-run", "availability", "pool"}
)

// Parse reads a catalogue from INI with the sections [team <name>],
// [service <name>] and [queue <name>]. It reports every mistake with its line;
// name stands for the file in them. The catalogue is valid when there are none.
func Parse(name string, r io.Reader) (Catalogue, Problems) {
	content, err := io.ReadAll(io.LimitReader(r, largestFile+1))
	if err != nil {
		return New(), Problems{{File: name, Message: fmt.Sprintf("is unreadable: %v", err)}}
	}
	if len(content) > largestFile {
		return New(), Problems{{File: name, Message: "is too large", Want: fmt.Sprintf("at most %d bytes", largestFile)}}
	}
	file, problems := inifile.Parse(name, content)
	p := parser{catalogue: New(), lines: make(map[string]int), file: name, problems: problems}
	for _, section := range file.Sections {
		p.readSection(section)
	}
	p.finish()
	return p.catalogue, p.problems
}

// parser turns sections into a catalogue and remembers the line of each field.
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
	known := entryNames
	if kind == "team" {
		known = teamNames
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
		UpperLimit: read(p, "upper-limit", 0, "a whole number", strconv.Atoi),
		Share:      read(p, "share", defaultShare, "a whole number from 1 on", positive(strconv.Atoi)),
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
		Team:         read(p, "team", "", "a team", parseText),
		Class:        Class(read(p, "class", string(ClassNormal), "urgent, normal or batch", parseText)),
		Open:         read(p, "open", false, "true or false", strconv.ParseBool),
		Shares:       read(p, "shares", nil, "<team>:<weight>, separated by commas", parseShares),
		Limit:        read(p, "limit", 0, "a whole number", strconv.Atoi),
		MaxBody:      read(p, "max-body", defaultMaxBody, "a size such as 512KiB or 4MiB", positive(bytesize.Parse)),
		Deadline:     read(p, "deadline", defaultDeadline, "a duration such as 2s or 500ms", positive(time.ParseDuration)),
		LongestRun:   read(p, "longest-run", 0, "a duration such as 2s or 10m", positive(time.ParseDuration)),
		Availability: read(p, "availability", defaultAvailability, "a number such as 0.999", positive(parseFloat)),
		Pool:         read(p, "pool", defaultPool, "a pool", parseText),
	}
	p.catalogue.Entries[p.name] = e
}

// read returns the value of a field, or the fallback when it is left out or
// malformed; the latter is a problem.
func read[T any](p *parser, name string, fallback T, want string, parse func(string) (T, error)) T {
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

// finish fills in defaults, which need all teams, and validates.
func (p *parser) finish() {
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

// lineOf returns the line of a field, or of its section when it is left out.
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

// positive refuses zero, which would stand for a value that is left out.
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
