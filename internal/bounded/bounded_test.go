package bounded_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/bounded"
)

// Guards against a body that is cut at the limit and passed on as if it were whole.
func TestReadAll(t *testing.T) {
	broken := errors.New("connection reset")
	tests := map[string]struct {
		body    io.Reader
		want    string
		wantErr error
	}{
		"empty":         {body: strings.NewReader("")},
		"shorter":       {body: strings.NewReader("abc"), want: "abc"},
		"at the limit":  {body: strings.NewReader("abcd"), want: "abcd"},
		"longer by one": {body: strings.NewReader("abcde"), want: "abcd", wantErr: bounded.ErrTooLarge},
		"broken off":    {body: io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(broken)), want: "ab", wantErr: broken},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := bounded.ReadAll(c.body, 4)
			if string(got) != c.want {
				t.Errorf("content: got %q, want %q", got, c.want)
			}
			if !errors.Is(err, c.wantErr) {
				t.Errorf("error: got %v, want %v", err, c.wantErr)
			}
		})
	}
}
