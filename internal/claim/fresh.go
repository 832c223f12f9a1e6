package claim

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
)

// uuidLength is the length of a UUID in its usual form.
const uuidLength = 36

// createdAt returns the time within an idempotency key that is a UUIDv7.
func createdAt(key string) (at time.Time, ok bool) {
	if len(key) != uuidLength || key[14] != '7' {
		return time.Time{}, false
	}
	for _, i := range []int{8, 13, 18, 23} {
		if key[i] != '-' {
			return time.Time{}, false
		}
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 {
		return time.Time{}, false
	}
	const millisecondsShift = 16
	milliseconds := binary.BigEndian.Uint64(raw[:8]) >> millisecondsShift
	return time.UnixMilli(int64(milliseconds)), true
}

// freshSince reports whether the key proves that it was made after the loss. A
// time ahead of now proves nothing.
func freshSince(key string, loss, now time.Time, skew time.Duration) bool {
	at, ok := createdAt(key)
	return ok && at.After(loss.Add(skew)) && !at.After(now.Add(skew))
}
