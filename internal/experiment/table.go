package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write the report as JSON")
}

// WriteTable writes a table for each part and deployment. A cell shows the median
// over the seeds, followed by the minimum and maximum if they differ.
func (r Report) WriteTable(w io.Writer) error {
	if err := writeRows(w, r.Rows); err != nil {
		return err
	}
	if len(r.Slots) == 0 {
		return nil
	}
	fmt.Fprintf(w, "\nMean slots in use by flow, beside the max-min division\n\n")
	return writeRows(w, r.Slots)
}

func writeRows(w io.Writer, rows []Row) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, row := range rows {
		changed := i == 0 || rows[i-1].Part != row.Part || rows[i-1].Deployment != row.Deployment
		if changed || len(rows[i-1].Metrics) != len(row.Metrics) {
			writeHeader(out, row, i > 0)
		}
		cells := []string{row.Scenario, row.Policy}
		for _, m := range row.Metrics {
			cells = append(cells, m.String())
		}
		fmt.Fprintln(out, strings.Join(cells, "\t"))
	}
	return errors.Wrap(out.Flush(), "write the report as a table")
}

func writeHeader(w io.Writer, row Row, gap bool) {
	if gap {
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "%s, %s\n", row.Part, row.Deployment)
	cells := []string{"scenario", "policy"}
	for _, m := range row.Metrics {
		cells = append(cells, fmt.Sprintf("%s, %s", m.Name, m.Unit))
	}
	fmt.Fprintln(w, strings.Join(cells, "\t"))
}

// String returns the median, followed by the range if there is one.
func (m Metric) String() string {
	middle, low, high := number(m.Median), number(m.Low), number(m.High)
	if low == high {
		return middle
	}
	return fmt.Sprintf("%s (%s-%s)", middle, low, high)
}

func number(x float64) string {
	if x >= 100 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.1f", x)
}
