// Package inifile reads INI files with the line of each section and name.
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
// gopkg.in/ini.v1 reads the values; it stops at the first broken line and
// reports no line numbers, so lines that it would refuse are reported and left
// out beforehand. Comments start with # or ; after a space or at a line's start.
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

var keyName = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)

// File is a parsed file. Sections stand in the file's order.
type File struct {
	Name     string
	Sections []Section
}

// Section is one "[name]" and what follows it.
type Section struct {
	Name string
	Line int
	Keys []Key
}

// Key is one "name = value".
type Key struct {
	Name  string
	Value string
	Line  int
}

// Get returns the value of a name.
func (s Section) Get(name string) (string, bool) {
	for _, key := range s.Keys {
		if key.Name == name {
			return key.Value, true
		}
	}
	return "", false
}

// LineOf returns the line of a name, or the section's own when it has none.
func (s Section) LineOf(name string) int {
	for _, key := range s.Keys {
		if key.Name == name {
			return key.Line
		}
	}
	return s.Line
}

// Parse reads content. The file holds what could be read; every broken line,
// repeated section and repeated name is a problem.
func Parse(name string, content []byte) (File, problem.List) {
	p := parser{file: File{Name: name}}
	for i, line := range strings.Split(strings.TrimPrefix(string(content), byteOrderMark), "\n") {
		p.read(i+1, strings.TrimSpace(line))
	}
	p.values()
	return p.file, p.problems
}

// parser collects the lines that ini.v1 can read, with sections renamed to
// their index so that a repeated section stays apart.
type parser struct {
	file     File
	clean    strings.Builder
	problems problem.List
}

func (p *parser) report(line int, field, message, want string) {
	p.problems.Add(problem.Problem{File: p.file.Name, Line: line, Field: field, Message: message, Want: want})
}

func (p *parser) read(number int, line string) {
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
		p.report(number, "", "section is not closed", "[name]")
		end = len(line)
	}
	name := strings.Join(strings.Fields(line[1:end]), " ")
	for _, other := range p.file.Sections {
		if other.Name == name {
			p.report(number, "["+name+"]", fmt.Sprintf("stands already on line %d", other.Line), "one section a name")
			break
		}
	}
	fmt.Fprintf(&p.clean, "[%d]\n", len(p.file.Sections))
	p.file.Sections = append(p.file.Sections, Section{Name: name, Line: number})
}

func (p *parser) readKey(number int, line string) {
	name, value, found := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case !found:
		p.report(number, "", fmt.Sprintf("line %q has no value", line), "name = value")
		return
	case !keyName.MatchString(name):
		p.report(number, "", fmt.Sprintf("name %q is malformed", name), "lower-case letters, digits and hyphens")
		return
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		p.report(number, name, "spans lines by quotes", "a value on one line")
		return
	case len(p.file.Sections) == 0:
		p.report(number, name, "stands before the first section", "a [section] above it")
		return
	}
	section := &p.file.Sections[len(p.file.Sections)-1]
	if _, repeated := section.Get(name); repeated {
		p.report(number, name, fmt.Sprintf("stands already on line %d", section.LineOf(name)), "one value a name")
		return
	}
	section.Keys = append(section.Keys, Key{Name: name, Line: number})
	p.clean.WriteString(line + "\n")
}

// values fills in the values that ini.v1 reads from the clean lines.
func (p *parser) values() {
	options := ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
	}
	loaded, err := ini.LoadSources(options, []byte(p.clean.String()))
	if err != nil {
		p.report(0, "", fmt.Sprintf("file is unreadable: %v", err), "")
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
