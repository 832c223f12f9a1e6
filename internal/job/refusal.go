package job

import (
	"bytes"
	"encoding/json"
	"time"
)

// Refusal is the row that takes the place of a job's row when the job is refused: an
// attempt to store the job that is still on its way to the store then fails.
type Refusal struct {
	// RefusedAt is by the clock of the process that refused the job, for operators.
	RefusedAt time.Time `json:"refused-at"`
}

// refusalStart is what the rows of refusals start with, and no other.
var refusalStart = []byte(`{"refused-at":`)

// EncodeRefusal returns a refusal's row.
func EncodeRefusal(refusal Refusal) []byte {
	encoded, err := json.Marshal(refusal)
	if err != nil {
		// Cannot happen: the clock's years have four digits.
		panic(err)
	}
	return encoded
}

// IsRefusal reports whether a row is that of a refusal.
func IsRefusal(row []byte) bool {
	return bytes.HasPrefix(row, refusalStart)
}
