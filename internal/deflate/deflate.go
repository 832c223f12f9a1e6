// Package deflate compresses texts, with reused compressors: each takes most of a
// megabyte, and is costly to make for each text.
//
// # Usage
//
//	codec := deflate.New(deflate.Config{Level: flate.DefaultCompression, Dictionary: commonText})
//	compressed := codec.Append(nil, text)
//	text, err := codec.Inflate(compressed, maxBytes)
package deflate

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Config configures a Codec.
type Config struct {
	// Level is one of package flate's.
	Level int
	// Dictionary holds what most texts have in common, or "". It is part of the format:
	// texts can be read only with the one that they were written with.
	Dictionary string
}

// Codec compresses and decompresses texts. It is safe for concurrent use.
type Codec struct {
	dictionary []byte
	writers    sync.Pool
	readers    sync.Pool
}

// New returns a codec. It panics if the level is not valid.
func New(config Config) *Codec {
	c := &Codec{dictionary: []byte(config.Dictionary)}
	c.writers.New = func() any {
		writer, err := flate.NewWriterDict(nil, config.Level, c.dictionary)
		if err != nil {
			panic(err)
		}
		return writer
	}
	c.readers.New = func() any { return flate.NewReader(nil) }
	return c
}

// Append appends the compressed text to a slice.
func (c *Codec) Append(to, text []byte) []byte {
	out := bytes.NewBuffer(to)
	writer := c.writers.Get().(*flate.Writer)
	defer c.writers.Put(writer)
	writer.Reset(out)
	_, writeErr := writer.Write(text)
	if err := errors.CombineErrors(writeErr, writer.Close()); err != nil {
		// Cannot happen: writes to a buffer do not fail.
		panic(err)
	}
	return out.Bytes()
}

// Inflate returns the text of a compressed one. Errors: it is not compressed or cut off,
// or the text has more than maxBytes.
func (c *Codec) Inflate(compressed []byte, maxBytes int) ([]byte, error) {
	reader := c.readers.Get().(io.Reader)
	defer c.readers.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(compressed), c.dictionary); err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	text, err := io.ReadAll(io.LimitReader(reader, int64(maxBytes)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(text) > maxBytes {
		return nil, errors.Newf("the text has more than %d bytes", maxBytes)
	}
	return text, nil
}
