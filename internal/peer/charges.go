package peer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/charge"
)

// ChargeMessages encodes the records of charges and unproven runs.
func ChargeMessages(records []charge.Record) ([][]byte, error) {
	encoded := make([][]byte, len(records))
	for i, record := range records {
		value, err := json.Marshal(record)
		if err != nil {
			return nil, errors.Wrap(err, "encode charge")
		}
		encoded[i] = value
	}
	return encoded, nil
}

// Charges decodes the records of charges and unproven runs.
func Charges(encoded [][]byte) ([]charge.Record, error) {
	records := make([]charge.Record, len(encoded))
	for i, value := range encoded {
		if err := json.Unmarshal(value, &records[i]); err != nil {
			return nil, errors.Wrap(err, "decode charge")
		}
	}
	return records, nil
}
