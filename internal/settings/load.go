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
// The error is a problem.List of all mistakes, or flag.ErrHelp.
func Load(args []string, getenv func(string) string) (Config, []string, error) {
	l := &loader{values: make(map[string]*value)}
	flags := l.newFlagSet()
	l.readEnvironment(flags, getenv)
	l.source = "flag"
	err := ff.Parse(flags, args, ff.WithConfigFileFlag(fileFlag), ff.WithConfigFileParser(l.readFile))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return Config{}, nil, flag.ErrHelp
	case err != nil:
		l.problems.Add(flagProblem(err))
	}
	config := l.parseValues()
	config.Incarnation = newIncarnation(time.Now())
	l.problems = append(l.problems, config.check(l.sourceOf)...)
	return config, flags.Args(), l.problems.Err()
}

// Usage writes all settings with their defaults to w, by section.
func Usage(w io.Writer) {
	section := ""
	for _, d := range definitions {
		if d.section != section {
			section = d.section
			fmt.Fprintf(w, "[%s]\n", section)
		}
		fmt.Fprintf(w, "  -%-22s %s", d.name, d.usage)
		if d.defaultValue != "" {
			fmt.Fprintf(w, " (default %s)", d.defaultValue)
		}
		fmt.Fprintln(w)
	}
}

// loader collects the text and the source of each setting. The settings are parsed
// at the end, so that all mistakes are reported together.
type loader struct {
	values   map[string]*value
	source   string
	file     string
	problems problem.List
}

// value is a flag.Value that accepts any text and records its source.
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

func (l *loader) newFlagSet() *flag.FlagSet {
	flags := flag.NewFlagSet("lovagedyke", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&l.file, fileFlag, "", "INI file with settings")
	for _, d := range definitions {
		v := &value{loader: l, text: d.defaultValue}
		l.values[d.name] = v
		flags.Var(v, d.name, d.usage)
	}
	return flags
}

func environmentName(name string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// readEnvironment sets flags from the environment before ff reads the file. ff does
// not overwrite flags that are already set.
func (l *loader) readEnvironment(flags *flag.FlagSet, getenv func(string) string) {
	for _, name := range append(settingNames(), fileFlag) {
		l.source = environmentName(name)
		if text := getenv(l.source); text != "" {
			_ = flags.Set(name, text) // value.Set accepts any text
		}
	}
}

// readFile is an ff.ConfigFileParser.
func (l *loader) readFile(r io.Reader, set func(name, value string) error) error {
	content, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("read settings file %q: %w", l.file, err)
	}
	file, problems := inifile.Parse(l.file, content)
	l.problems = append(l.problems, problems...)
	for _, section := range file.Sections {
		for _, key := range section.Keys {
			if !l.checkKey(section, key) {
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

// checkKey reports whether key is a setting of section, and records a problem if it
// is not.
func (l *loader) checkKey(section inifile.Section, key inifile.Key) bool {
	p := problem.Problem{File: l.file, Line: key.Line, Field: key.Name}
	d, ok := findDefinition(key.Name)
	switch {
	case !ok:
		p.Message, p.Want = "is unknown", problem.Unknown(key.Name, settingNames())
	case d.section != section.Name:
		p.Message, p.Want = fmt.Sprintf("is in section [%s]", section.Name), "["+d.section+"]"
	default:
		return true
	}
	l.problems.Add(p)
	return false
}

// sourceOf returns where a setting was set, or the settings file if it was not set.
func (l *loader) sourceOf(name string) string {
	if v := l.values[name]; v != nil && v.set {
		return v.source
	}
	return l.file
}

// parseValues parses the collected texts. Malformed settings are recorded as
// problems and keep their zero value.
func (l *loader) parseValues() Config {
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

// flagProblem converts an error of flag parsing to a problem.
func flagProblem(err error) problem.Problem {
	text := err.Error()
	if _, name, found := strings.Cut(text, "flag provided but not defined: -"); found {
		return problem.Problem{File: "flag", Field: name, Message: "is unknown", Want: problem.Unknown(name, append(settingNames(), fileFlag))}
	}
	return problem.Problem{Message: text}
}
