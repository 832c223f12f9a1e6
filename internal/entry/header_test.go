package entry

import (
	"net/http"
	"reflect"
	"testing"
)

func TestEndToEndHeader(t *testing.T) {
	tests := map[string]struct {
		header http.Header
		want   http.Header
	}{
		"nothing": {header: nil, want: http.Header{}},
		"hop by hop": {
			header: http.Header{"Te": {"trailers"}, "Upgrade": {"h2c"}, "Accept": {"*/*"}},
			want:   http.Header{"Accept": {"*/*"}},
		},
		"named by connection": {
			header: http.Header{"Connection": {"close, X-Secret"}, "X-Secret": {"a"}, "X-Kept": {"b"}},
			want:   http.Header{"X-Kept": {"b"}},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := endToEndHeader(tc.header); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
