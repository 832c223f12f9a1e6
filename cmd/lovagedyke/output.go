package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// outputFlags holds the output format of a listing.
type outputFlags struct {
	format string
}

const (
	outputTable = "table"
	outputJSON  = "json"
)

func (o *outputFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&o.format, "output", outputTable, "output format: table or json")
}

// render writes value as JSON, or the header and rows as a table.
func (o *outputFlags) render(w io.Writer, value any, header []string, rows [][]string) error {
	switch o.format {
	case outputJSON:
		return writeJSON(w, value)
	case outputTable:
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, row := range append([][]string{header}, rows...) {
			fmt.Fprintln(table, strings.Join(row, "\t"))
		}
		return table.Flush()
	}
	return usagef("output %q is unknown, want table or json", o.format)
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// oneArgument returns the only argument, or a usage error that says what is
// wanted.
func oneArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usagef("got %d arguments, want %s (flags go before it)", len(args), what)
	}
	return args[0], nil
}
