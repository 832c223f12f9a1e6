package job

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// occurrenceRange is a range of occurrences, both ends included.
type occurrenceRange struct {
	first, last int
}

// occurrenceSet is a set of occurrences: ranges in ascending order that do not touch. Its
// size grows with the gaps between its members, not with their number.
type occurrenceSet []occurrenceRange

// search returns the index of the first range that ends at an occurrence or after it.
func (s occurrenceSet) search(occurrence int) int {
	index, _ := slices.BinarySearchFunc(s, occurrence, func(r occurrenceRange, target int) int { return r.last - target })
	return index
}

// has reports whether the occurrence is in the set.
func (s occurrenceSet) has(occurrence int) bool {
	index := s.search(occurrence)
	return index < len(s) && s[index].first <= occurrence
}

// next returns the first occurrence that is not in the set, from the given one on.
func (s occurrenceSet) next(from int) int {
	if index := s.search(from); index < len(s) && s[index].first <= from {
		return s[index].last + 1
	}
	return from
}

// count returns the number of members.
func (s occurrenceSet) count() int {
	count := 0
	for _, r := range s {
		count += r.last - r.first + 1
	}
	return count
}

// add returns the set with an occurrence added.
func (s occurrenceSet) add(occurrence int) occurrenceSet {
	index := s.search(occurrence)
	if index < len(s) && s[index].first <= occurrence {
		return s
	}
	joinsPrevious := index > 0 && s[index-1].last == occurrence-1
	joinsNext := index < len(s) && s[index].first == occurrence+1
	switch {
	case joinsPrevious && joinsNext:
		s[index-1].last = s[index].last
		return slices.Delete(s, index, index+1)
	case joinsPrevious:
		s[index-1].last = occurrence
		return s
	case joinsNext:
		s[index].first = occurrence
		return s
	default:
		return slices.Insert(s, index, occurrenceRange{occurrence, occurrence})
	}
}

// bounds returns the first and the last occurrence of each range, one range after the other.
func (s occurrenceSet) bounds() []int {
	bounds := make([]int, 0, 2*len(s))
	for _, r := range s {
		bounds = append(bounds, r.first, r.last)
	}
	return bounds
}

// newOccurrenceSet returns the set with the given bounds.
func newOccurrenceSet(bounds []int) (occurrenceSet, error) {
	if len(bounds)%2 != 0 {
		return nil, errors.Newf("a set of occurrences has %d bounds, not an even number", len(bounds))
	}
	var set occurrenceSet
	next := 0
	for pair := range slices.Chunk(bounds, 2) {
		if pair[0] < next || pair[1] < pair[0] {
			return nil, errors.Newf("a set of occurrences has the range %d to %d after %d", pair[0], pair[1], next-1)
		}
		set = append(set, occurrenceRange{pair[0], pair[1]})
		next = pair[1] + 2
	}
	return set, nil
}
