// Package inifile parses INI files with the line numbers of sections and keys.
//
// # Usage
//
//	file, problems := inifile.Parse("catalogue.ini", content)
//	for _, section := range file.Sections {
//		for _, key := range section.Keys {
//			fmt.Println(key.Line, key.Name, key.Value)
//		}
//	}
//
// gopkg.in/ini.v1 parses the values. It stops at the first malformed line and
// reports no line numbers, so this package reports malformed lines itself and does
// not pass them on. Comments start with # or ; after a space or at the start of a
// line.
package inifile

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/lovagedyke/lovagedyke/internal/problem"
)

const byteOrderMark = "\ufeff"

var keyPattern = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)

// File is a parsed file. Sections are in the order of the file.
type File struct {
	Name     string
	Sections []Section
}

// Section is a "[name]" line and the keys that follow it.
type Section struct {
	Name string
	Line int
	Keys []Key
}

// Key is a "name = value" line.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Get returns the value of a key, and whether the section has the key.
func (s Section) Get(name string) (string, bool) {
	for _, key := range s.Keys {
		if key.Name == name {
			return key.Value, true
		}
	}
	return "", false
}

// LineOf returns the line of a key, or the line of the section if it does not have
// the key.
func (s Section) LineOf(name string) int {
	for _, key := range s.Keys {
		if key.Name == name {
			return key.Line
		}
	}
	return s.Line
}

// Parse parses content. The returned file holds what could be parsed; every
// malformed line, repeated section and repeated key is reported as a problem.
func Parse(name string, content []byte) (File, problem.List) {
	p := parser{file: File{Name: name}}
	for i, line := range strings.Split(strings.TrimPrefix(string(content), byteOrderMark), "\n") {
		p.readLine(i+1, strings.TrimSpace(line))
	}
	p.readValues()
	return p.file, p.problems
}

// parser collects the lines that ini.v1 can parse. Sections are renamed to their
// index, so that ini.v1 does not merge sections of the same name.
type parser struct {
	file       File
	validLines strings.Builder
	problems   problem.List
}

func (p *parser) addProblem(line int, field, message, want string) {
	p.problems.Add(problem.Problem{File: p.file.Name, Line: line, Field: field, Message: message, Want: want})
}

func (p *parser) readLine(number int, line string) {
	switch {
	case line == "", line[0] == '#', line[0] == ';':
	case line[0] == '[':
		p.readSection(number, line)
	default:
		p.readKey(number, line)
	}
}

func (p *parser) readSection(number int, line string) {
	end := strings.IndexByte(line, ']')
	if end < 0 {
		p.addProblem(number, "", "section is not closed", "[name]")
		end = len(line)
	}
	name := strings.Join(strings.Fields(line[1:end]), " ")
	for _, other := range p.file.Sections {
		if other.Name == name {
			p.addProblem(number, "["+name+"]", fmt.Sprintf("is already defined on line %d", other.Line), "one section per name")
			break
		}
	}
	fmt.Fprintf(&p.validLines, "[%d]\n", len(p.file.Sections))
	p.file.Sections = append(p.file.Sections, Section{Name: name, Line: number})
}

func (p *parser) readKey(number int, line string) {
	name, value, found := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case !found:
		p.addProblem(number, "", fmt.Sprintf("line %q has no \"=\"", line), "name = value")
		return
	case !keyPattern.MatchString(name):
		p.addProblem(number, "", fmt.Sprintf("name %q is malformed", name), "lower-case letters, digits and hyphens")
		return
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		p.addProblem(number, name, "has a multi-line quote", "a value on one line")
		return
	case len(p.file.Sections) == 0:
		p.addProblem(number, name, "is before the first section", "a [section] above it")
		return
	}
	section := &p.file.Sections[len(p.file.Sections)-1]
	if _, repeated := section.Get(name); repeated {
		p.addProblem(number, name, fmt.Sprintf("is already defined on line %d", section.LineOf(name)), "one value per name")
		return
	}
	section.Keys = append(section.Keys, Key{Name: name, Line: number})
	p.validLines.WriteString(line + "\n")
}

// readValues sets the keys' values, which ini.v1 parses from the valid lines.
func (p *parser) readValues() {
	options := ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
	}
	loaded, err := ini.LoadSources(options, []byte(p.validLines.String()))
	if err != nil {
		p.addProblem(0, "", fmt.Sprintf("file cannot be parsed: %v", err), "")
		return
	}
	for i := range p.file.Sections {
		section := loaded.Section(strconv.Itoa(i))
		for j := range p.file.Sections[i].Keys {
			key := &p.file.Sections[i].Keys[j]
			key.Value = section.Key(key.Name).Value()
		}
	}
}
