package claim

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
)

// uuidLength is the length of a UUID in its canonical text form.
const uuidLength = 36

// uuidTime returns the timestamp of an idempotency key that is a UUIDv7.
func uuidTime(key string) (at time.Time, ok bool) {
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

// createdAfter reports whether the key proves that it was created after the loss.
// A timestamp in the future proves nothing.
func createdAfter(key string, loss, now time.Time, skew time.Duration) bool {
	at, ok := uuidTime(key)
	return ok && at.After(loss.Add(skew)) && !at.After(now.Add(skew))
}
