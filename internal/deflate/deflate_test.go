package deflate_test

import (
	"bytes"
	"compress/flate"
	"strings"
	"sync"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/deflate"
)

func TestCodec(t *testing.T) {
	codecs := map[string]*deflate.Codec{
		"no dictionary":   deflate.New(deflate.Config{Level: flate.DefaultCompression}),
		"a dictionary":    deflate.New(deflate.Config{Level: flate.DefaultCompression, Dictionary: `{"id":"","queue":"r-"`}),
		"Huffman coding":  deflate.New(deflate.Config{Level: flate.HuffmanOnly}),
		"no compression":  deflate.New(deflate.Config{Level: flate.NoCompression}),
		"best dictionary": deflate.New(deflate.Config{Level: flate.BestCompression, Dictionary: strings.Repeat("ab", 999)}),
	}
	texts := []string{"", "a", `{"id":"5c0e7a21d94b36f8","queue":"r-67e2ey5"}`, strings.Repeat("job ", 9999)}
	for name, codec := range codecs {
		t.Run(name, func(t *testing.T) {
			for _, want := range texts {
				compressed := codec.Append([]byte("mark"), []byte(want))
				if !bytes.HasPrefix(compressed, []byte("mark")) {
					t.Fatalf("compressed text: got %.10q..., want it after what was there", compressed)
				}
				compressed = compressed[len("mark"):]
				got, err := codec.Inflate(compressed, len(want))
				if err != nil || string(got) != want {
					t.Errorf("text of %d bytes: got %d and %v", len(want), len(got), err)
				}
				if _, err := codec.Inflate(compressed, len(want)-1); err == nil {
					t.Errorf("text of %d bytes with one less allowed: got no error, want one", len(want))
				}
				if _, err := codec.Inflate(compressed[:len(compressed)-1], len(want)); err == nil {
					t.Errorf("text of %d bytes, cut off: got no error, want one", len(want))
				}
			}
		})
	}
}

// Guards against a compressor or decompressor that two callers share, or that keeps
// something of the text before.
func TestConcurrentUse(t *testing.T) {
	codec := deflate.New(deflate.Config{Level: flate.DefaultCompression, Dictionary: "task"})
	var wait sync.WaitGroup
	for n := range 8 {
		wait.Go(func() {
			want := bytes.Repeat([]byte{byte('a' + n), 't'}, 100*(n+1))
			for range 100 {
				got, err := codec.Inflate(codec.Append(nil, want), len(want))
				if err != nil || !bytes.Equal(got, want) {
					t.Errorf("text %d: got %d bytes and %v, want %d", n, len(got), err, len(want))
				}
			}
		})
	}
	wait.Wait()
}
