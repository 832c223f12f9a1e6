package policy

import (
	"bytes"
	"hash/crc32"
	"math/rand/v2"
	"testing"
)

// testText returns a configuration's text that does not compress well.
func testText(version uint64, size int) compressed {
	random := rand.New(rand.NewPCG(version, 7))
	text := make([]byte, size)
	for i := range text {
		text[i] = byte(random.Uint32())
	}
	return compress(version, text)
}

// Pattern: large-configuration-over-small-links. A transfer that was cut goes on where
// it ended, also from another process, instead of beginning anew.
func TestDownloadContinues(t *testing.T) {
	text := testText(7, 3*partBytes+100)
	want, err := codec.Inflate(text.text, maxEncodedBytes)
	if err != nil {
		t.Fatal(err)
	}
	var download Download
	parts := 0
	for {
		parts++
		// Each part comes in a call of its own, to any process that has the version.
		encoded, err := download.Add(text.part(download.Position()))
		if err != nil {
			t.Fatal(err)
		}
		if encoded != nil {
			if !bytes.Equal(encoded, want) {
				t.Error("assembled configuration: got another text")
			}
			break
		}
	}
	if want := 4; parts != want {
		t.Errorf("parts: got %d, want %d", parts, want)
	}
	if got := download.Position(); got != (Position{}) {
		t.Errorf("position after it: got %+v, want none", got)
	}
}

func TestDownloadOfOtherTexts(t *testing.T) {
	text, other := testText(7, 2*partBytes), testText(6, 2*partBytes)
	otherBuild := text
	otherBuild.checksum++
	first := Position{}
	tests := map[string]struct {
		have, add Part
		want      Position
		wantError bool
	}{
		"another version begins":    {have: text.part(first), add: other.part(first), want: Position{6, other.checksum, partBytes}},
		"another build's begins":    {have: text.part(first), add: otherBuild.part(first), want: Position{7, otherBuild.checksum, partBytes}},
		"a first part again":        {have: text.part(first), add: text.part(first), want: Position{7, text.checksum, partBytes}},
		"another version's second":  {have: text.part(first), add: other.part(Position{6, other.checksum, partBytes}), want: Position{7, text.checksum, partBytes}, wantError: true},
		"another build's second":    {have: text.part(first), add: otherBuild.part(Position{7, otherBuild.checksum, partBytes}), want: Position{7, text.checksum, partBytes}, wantError: true},
		"a part that leaves a hole": {have: text.part(first), add: text.part(Position{7, text.checksum, partBytes + 1}), want: Position{7, text.checksum, partBytes}, wantError: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var download Download
			if _, err := download.Add(c.have); err != nil {
				t.Fatal(err)
			}
			encoded, err := download.Add(c.add)
			if encoded != nil || (err != nil) != c.wantError {
				t.Errorf("part: got %d bytes and %v, want none and an error: %t", len(encoded), err, c.wantError)
			}
			if got := download.Position(); got != c.want {
				t.Errorf("position: got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestDownloadRejectsInvalidParts(t *testing.T) {
	text := testText(7, partBytes/2)
	whole := text.part(Position{})
	damaged := whole
	damaged.Data = bytes.Clone(whole.Data)
	damaged.Data[9]++
	bomb := compress(7, make([]byte, maxEncodedBytes+1))
	notDeflate := []byte("not compressed")
	tests := map[string]Part{
		"no data":                  {Position: Position{Version: 7}, Size: 9},
		"no size":                  {Position: Position{Version: 7}, Data: []byte("x")},
		"too large":                {Position: Position{Version: 7}, Size: maxCompressedBytes + 1, Data: []byte("x")},
		"beyond its size":          {Position: Position{Version: 7}, Size: 1, Data: []byte("xy")},
		"before its start":         {Position: Position{Version: 7, Offset: -1}, Size: 1},
		"a wrong byte":             damaged,
		"not compressed":           {Position: Position{7, crc32.ChecksumIEEE(notDeflate), 0}, Size: len(notDeflate), Data: notDeflate},
		"too large, decompressed":  {Position: Position{7, bomb.checksum, 0}, Size: len(bomb.text), Data: bomb.text},
		"without its last 5 bytes": {Position: Position{7, crc32.ChecksumIEEE(whole.Data[:len(whole.Data)-5]), 0}, Size: len(whole.Data) - 5, Data: whole.Data[:len(whole.Data)-5]},
	}
	for name, part := range tests {
		t.Run(name, func(t *testing.T) {
			var download Download
			if encoded, err := download.Add(part); err == nil {
				t.Fatalf("invalid part: got %d bytes and no error, want one", len(encoded))
			}
			if encoded, err := download.Add(whole); err != nil || encoded == nil {
				t.Errorf("a valid one after it: got %d bytes and %v, want a configuration", len(encoded), err)
			}
		})
	}
}
