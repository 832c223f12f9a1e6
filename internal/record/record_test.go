package record_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

// Guards against the row of a wave over thousands of hosts that outgrows what the store takes.
func TestWaveRows(t *testing.T) {
	const storeRowBytes = 65536
	wave := func(hosts int) record.Wave {
		var out record.Wave
		for n := range hosts {
			out.Done = append(out.Done, fmt.Sprintf("m-%08x-%d", uint32(n)*2654435761, n))
		}
		return out
	}
	tests := map[string]struct {
		hosts   int
		format  job.RowFormat
		isPlain bool
	}{
		"few hosts":                 {hosts: 100, format: job.NewestRowFormat, isPlain: true},
		"many hosts":                {hosts: 6000, format: job.NewestRowFormat},
		"many hosts, mixed version": {hosts: 2000, format: job.RowRefusal, isPlain: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			want := wave(test.hosts)
			row := record.EncodeWave(want, test.format)
			if len(row) > storeRowBytes {
				t.Errorf("row: got %d bytes, want at most %d", len(row), storeRowBytes)
			}
			if got := row[0] == '{'; got != test.isPlain {
				t.Errorf("plain JSON: got %t, want %t", got, test.isPlain)
			}
			got, err := record.DecodeWave(row)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("decoded: got %d hosts and %v, want %d", len(got.Done), err, test.hosts)
			}
		})
	}
	if _, err := record.DecodeWave([]byte{2, 1, 2, 3}); err == nil {
		t.Error("row that is not compressed: got no error, want one")
	}
}
