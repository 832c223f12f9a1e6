package peer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/charge"
)

// ChargeMessages encodes charges and unproven runs.
func ChargeMessages(entries []charge.Record) ([][]byte, error) {
	encoded := make([][]byte, len(entries))
	for i, entry := range entries {
		value, err := json.Marshal(entry)
		if err != nil {
			return nil, errors.Wrap(err, "encode charge")
		}
		encoded[i] = value
	}
	return encoded, nil
}

// Charges decodes charges and unproven runs.
func Charges(encoded [][]byte) ([]charge.Record, error) {
	entries := make([]charge.Record, len(encoded))
	for i, value := range encoded {
		if err := json.Unmarshal(value, &entries[i]); err != nil {
			return nil, errors.Wrap(err, "decode charge")
		}
	}
	return entries, nil
}
