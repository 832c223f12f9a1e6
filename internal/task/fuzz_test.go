package task_test

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

// FuzzDecode checks that a decoded record survives encoding and decoding, and that
// a controller can load any row and step without a panic.
func FuzzDecode(f *testing.F) {
	for _, value := range []string{
		``, `{}`, `null`, `{"id":"a","queue":"plans","state":"waiting"}`,
		`{"id":"a","queue":"plans","team":"t","class":"urgent","state":"running","ran":"yes","attempts":1,"attempt":{"number":1,"worker":"w","incarnation":"a","epoch":1,"at":"2026-01-01T00:00:00Z"}}`,
		`{"id":"a","queue":"plans","state":"running","attempts":-1}`, `{"id":"a","queue":"plans","state":"placed","attempts":3}`,
		`{"id":"a","queue":"plans","state":"nonsense","run-time":"1h","size":{"cpus":-1,"memory":-5}}`,
		`{"id":"a","queue":"plans","state":"done","cancel":true,"result":"AAAA"}`,
	} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		row := table.Row{Key: "task/plans/a", Value: value, Version: 1}
		want, err := task.Decode(row)
		now := time.Unix(1_000_000, 0)
		controller := task.New(task.Config{Shard: "pool-a", Epoch: 2, Placer: place.New(place.Config{})})
		controller.Join(now, place.Worker{Name: "w", Size: place.Size{CPUs: 16, Memory: 64 << 30}}, "a")
		broken := controller.Load(now, []table.Row{row})
		for range 3 {
			now = now.Add(time.Minute)
			controller.Step(now)
		}
		if err != nil {
			if len(broken) != 1 {
				t.Errorf("broken rows: got %v, want the row", broken)
			}
			return
		}
		encoded, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := task.Decode(table.Row{Value: encoded})
		if err != nil {
			t.Fatal(err)
		}
		reencoded, err := json.Marshal(decoded)
		if err != nil || !reflect.DeepEqual(reencoded, encoded) {
			t.Errorf("got %s, %v, want %s", reencoded, err, encoded)
		}
	})
}
