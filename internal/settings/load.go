package settings

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"github.com/lovagedyke/lovagedyke/internal/inifile"
	"github.com/lovagedyke/lovagedyke/internal/problem"
)

const (
	environmentPrefix = "LOVAGEDYKE_"
	fileFlag          = "settings"
)

// Load reads the settings and returns the arguments that follow the flags.
// The error is a problem.List of every mistake, or flag.ErrHelp.
func Load(args []string, getenv func(string) string) (Config, []string, error) {
	l := &loader{values: make(map[string]*value)}
	flags := l.flagSet()
	l.readEnvironment(flags, getenv)
	l.source = "flag"
	err := ff.Parse(flags, args, ff.WithConfigFileFlag(fileFlag), ff.WithConfigFileParser(l.readFile))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return Config{}, nil, flag.ErrHelp
	case err != nil:
		l.problems.Add(argumentProblem(err))
	}
	config := l.config()
	config.Incarnation = newIncarnation(time.Now())
	l.problems = append(l.problems, config.check(l.sourceOf)...)
	return config, flags.Args(), l.problems.Err()
}

// Usage writes all settings with their defaults, by section.
func Usage(w io.Writer) {
	section := ""
	for _, d := range definitions {
		if d.section != section {
			section = d.section
			fmt.Fprintf(w, "[%s]\n", section)
		}
		fmt.Fprintf(w, "  -%-22s %s", d.name, d.usage)
		if d.fallback != "" {
			fmt.Fprintf(w, " (default %s)", d.fallback)
		}
		fmt.Fprintln(w)
	}
}

// loader collects the text of each setting with its source, so that all can be
// judged together at the end.
type loader struct {
	values   map[string]*value
	source   string
	file     string
	problems problem.List
}

// value is a flag.Value that takes any text.
type value struct {
	loader *loader
	text   string
	source string
	set    bool
}

// String implements flag.Value.
func (v *value) String() string {
	return v.text
}

// Set implements flag.Value.
func (v *value) Set(text string) error {
	v.text, v.source, v.set = text, v.loader.source, true
	return nil
}

func (l *loader) flagSet() *flag.FlagSet {
	flags := flag.NewFlagSet("lovagedyke", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&l.file, fileFlag, "", "INI file with settings")
	for _, d := range definitions {
		v := &value{loader: l, text: d.fallback}
		l.values[d.name] = v
		flags.Var(v, d.name, d.usage)
	}
	return flags
}

func environmentName(name string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// readEnvironment sets flags before ff does, which leaves those alone that the
// file sets too.
func (l *loader) readEnvironment(flags *flag.FlagSet, getenv func(string) string) {
	for _, name := range append(names(), fileFlag) {
		l.source = environmentName(name)
		if text := getenv(l.source); text != "" {
			_ = flags.Set(name, text) // value.Set takes any text
		}
	}
}

// readFile is an ff.ConfigFileParser.
func (l *loader) readFile(r io.Reader, set func(name, value string) error) error {
	content, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("settings file %q is unreadable: %w", l.file, err)
	}
	file, problems := inifile.Parse(l.file, content)
	l.problems = append(l.problems, problems...)
	for _, section := range file.Sections {
		for _, key := range section.Keys {
			if !l.known(section, key) {
				continue
			}
			l.source = fmt.Sprintf("%s:%d", l.file, key.Line)
			if err := set(key.Name, key.Value); err != nil {
				return err
			}
		}
	}
	return nil
}

func (l *loader) known(section inifile.Section, key inifile.Key) bool {
	p := problem.Problem{File: l.file, Line: key.Line, Field: key.Name}
	d, ok := find(key.Name)
	switch {
	case !ok:
		p.Message, p.Want = "is unknown", problem.Unknown(key.Name, names())
	case d.section != section.Name:
		p.Message, p.Want = fmt.Sprintf("stands in [%s]", section.Name), "["+d.section+"]"
	default:
		return true
	}
	l.problems.Add(p)
	return false
}

func (l *loader) sourceOf(name string) string {
	if v := l.values[name]; v != nil && v.set {
		return v.source
	}
	return l.file
}

// config parses the texts; what is malformed keeps its zero value.
func (l *loader) config() Config {
	var config Config
	for _, d := range definitions {
		v := l.values[d.name]
		if v.text == "" && !v.set {
			continue
		}
		if err := d.parse(&config, v.text); err != nil {
			l.problems.Add(problem.Problem{File: v.source, Field: d.name, Message: fmt.Sprintf("%q is malformed", v.text), Want: d.want})
		}
	}
	return config
}

func argumentProblem(err error) problem.Problem {
	text := err.Error()
	if _, name, unknown := strings.Cut(text, "flag provided but not defined: -"); unknown {
		return problem.Problem{File: "flag", Field: name, Message: "is unknown", Want: problem.Unknown(name, append(names(), fileFlag))}
	}
	return problem.Problem{Message: text}
}
