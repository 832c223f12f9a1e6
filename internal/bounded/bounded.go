// Package bounded reads bodies whose size is limited.
//
// # Usage
//
//	content, err := bounded.ReadAll(response.Body, 64<<20)
//	if errors.Is(err, bounded.ErrTooLarge) {
//		// The body was not read to its end.
//	}
package bounded

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge means that the body is longer than the limit.
var ErrTooLarge = errors.New("body is too large")

// ReadAll reads a body of at most maxBytes. With an error it returns what was read before;
// a longer body is ErrTooLarge, never a shorter one without an error.
func ReadAll(body io.Reader, maxBytes int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err == nil && int64(len(content)) > maxBytes {
		return content[:maxBytes], errors.Wrapf(ErrTooLarge, "more than %d bytes", maxBytes)
	}
	return content, err
}
