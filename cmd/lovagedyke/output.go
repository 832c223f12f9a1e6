package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// output holds the flag for the form of a listing.
type output struct {
	form string
}

const (
	outputTable = "table"
	outputJSON  = "json"
)

func (o *output) declare(flags *flag.FlagSet) {
	flags.StringVar(&o.form, "output", outputTable, "form of the listing: table or json")
}

// write prints value as JSON, or the rows below their header.
func (o *output) write(w io.Writer, value any, header []string, rows [][]string) error {
	switch o.form {
	case outputJSON:
		return writeJSON(w, value)
	case outputTable:
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, row := range append([][]string{header}, rows...) {
			fmt.Fprintln(table, strings.Join(row, "\t"))
		}
		return table.Flush()
	}
	return usagef("output %q is unknown, want table or json", o.form)
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// oneArgument returns the only argument of a command.
func oneArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usagef("got %d arguments, want %s (flags go before it)", len(args), what)
	}
	return args[0], nil
}
