// Package bytesize parses and formats sizes with units, such as "4MiB".
//
// # Usage
//
//	n, err := bytesize.Parse("512KiB")
//	fmt.Println(bytesize.Format(n))
package bytesize

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// units is sorted from the largest to the smallest. "B" is last because it is a
// suffix of all others.
var units = []struct {
	name  string
	bytes int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// Parse parses a size and returns it in bytes. A unit is required.
func Parse(text string) (int64, error) {
	for _, unit := range units {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/unit.bytes {
			return 0, fmt.Errorf("size %q is malformed", text)
		}
		return n * unit.bytes, nil
	}
	return 0, fmt.Errorf("size %q has no unit", text)
}

// Format formats a size in the largest unit that divides it.
func Format(n int64) string {
	for _, unit := range units {
		if n != 0 && n%unit.bytes == 0 {
			return strconv.FormatInt(n/unit.bytes, 10) + unit.name
		}
	}
	return "0B"
}
