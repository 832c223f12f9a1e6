package revision

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Evacuation is an operator's request that no work start in a data centre. It is
// in force until it is withdrawn.
type Evacuation struct {
	DataCentre string `json:"data-centre"`
	// Since is when the request was committed. It is zero if the row's value
	// cannot be read.
	Since time.Time `json:"since"`
	// Revision is the revision that added the request.
	Revision uint64 `json:"revision"`
}

// IsEvacuated reports whether no work may start in the data centre. While any
// data centre is evacuated, an unknown one counts as evacuated.
func (s State) IsEvacuated(dataCentre string) bool {
	if dataCentre == "" {
		return len(s.Evacuations) > 0
	}
	_, evacuated := s.Evacuations[dataCentre]
	return evacuated
}

// EvacuatedDataCentres returns the sorted names of the evacuated data centres.
func (s State) EvacuatedDataCentres() []string {
	return slices.Sorted(maps.Keys(s.Evacuations))
}

// WithEvacuation returns the state with the data centre evacuated. An evacuation
// that is already in force stays unchanged.
func (s State) WithEvacuation(dataCentre string, since time.Time) State {
	if _, inForce := s.Evacuations[dataCentre]; inForce {
		return s
	}
	s.Evacuations = cloneEvacuations(s.Evacuations)
	s.Evacuations[dataCentre] = Evacuation{DataCentre: dataCentre, Since: since.UTC().Truncate(time.Millisecond)}
	return s
}

// WithoutEvacuation returns the state without an evacuation of the data centre.
func (s State) WithoutEvacuation(dataCentre string) State {
	s.Evacuations = cloneEvacuations(s.Evacuations)
	delete(s.Evacuations, dataCentre)
	return s
}

// cloneEvacuations returns a copy that is never nil.
func cloneEvacuations(evacuations map[string]Evacuation) map[string]Evacuation {
	clone := make(map[string]Evacuation, len(evacuations)+1)
	maps.Copy(clone, evacuations)
	return clone
}

// applyEvacuation applies one evacuation's row. Its key names the data centre, so
// a request with an unreadable value is in force. A row that names no data centre
// is ignored. Both are reported in Malformed and do not affect the other rows.
func (s *State) applyEvacuation(dataCentre string, row table.Write) {
	if row.Delete {
		delete(s.Evacuations, dataCentre)
		return
	}
	if dataCentre == "" {
		s.Malformed = append(s.Malformed, row.Key)
		return
	}
	var evacuation Evacuation
	if err := json.Unmarshal(row.Value, &evacuation); err != nil {
		s.Malformed = append(s.Malformed, row.Key)
		evacuation = Evacuation{}
	}
	evacuation.DataCentre = dataCentre
	s.Evacuations[dataCentre] = evacuation
}

// evacuationsWithRevisions returns the evacuations with the revision of each: the
// old one if nothing else differs, otherwise the one that follows before's.
func (s State) evacuationsWithRevisions(before State) map[string]Evacuation {
	revised := cloneEvacuations(s.Evacuations)
	for dataCentre, evacuation := range revised {
		old, known := before.Evacuations[dataCentre]
		evacuation.Revision = old.Revision
		if !known || !evacuation.Since.Equal(old.Since) {
			evacuation.Revision = before.Revision + 1
		}
		revised[dataCentre] = evacuation
	}
	return revised
}
