package process

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
)

// Guards against messages of few bytes that take very much memory once they are decoded.
func TestCheckPeerMessage(t *testing.T) {
	usual, err := proto.Marshal(&memberpb.AcceptRequest{Submissions: [][]byte{[]byte("a"), []byte("b")}})
	if err != nil {
		t.Fatal(err)
	}
	var fields []byte
	for range maxPeerFields + 1 {
		fields = append(fields, 1<<3|2, 0)
	}
	tests := map[string]struct {
		message []byte
		isValid bool
	}{
		"usual":           {usual, true},
		"empty":           {nil, true},
		"as many fields":  {fields[2:], true},
		"too many fields": {fields, false},
		"broken":          {[]byte{1<<3 | 2, 5}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := checkPeerMessage(test.message); (err == nil) != test.isValid {
				t.Errorf("check: got %v, want it valid: %v", err, test.isValid)
			}
		})
	}
}
