package revision

import "github.com/lovagedyke/lovagedyke/internal/table"

// HeadKey is the row that holds the revision counter.
const HeadKey = headKey

// HeadRevision returns the newest committed revision from the row of HeadKey.
func HeadRevision(row table.Row) (uint64, error) {
	h, err := decodeHead(row)
	return h.Revision, err
}
