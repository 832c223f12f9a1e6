package policy

import (
	"compress/flate"
	"hash/crc32"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/deflate"
)

const (
	// partBytes is the size of the parts in which a compressed configuration is sent.
	partBytes = 64 << 10
	// maxEncodedBytes bounds a configuration in the operators' format, and
	// maxCompressedBytes the same compressed.
	maxEncodedBytes    = 16 << 20
	maxCompressedBytes = 4 << 20
)

// Position is how much of a compressed configuration a process has.
type Position struct {
	Version uint64
	// Checksum is that of the whole compressed text: two builds may compress the same
	// configuration differently.
	Checksum uint32
	// Offset is the number of bytes that it has.
	Offset int
}

// Part is a piece of a compressed configuration.
type Part struct {
	// Position is where Data begins.
	Position
	// Size is the size of the whole compressed text in bytes.
	Size int
	Data []byte
}

// compressed is a compressed configuration.
type compressed struct {
	version  uint64
	checksum uint32
	text     []byte
}

var codec = deflate.New(deflate.Config{Level: flate.DefaultCompression})

// compress compresses a configuration in the operators' format.
func compress(version uint64, encoded []byte) compressed {
	text := codec.Append(nil, encoded)
	return compressed{version: version, checksum: crc32.ChecksumIEEE(text), text: text}
}

// part returns the part that follows after a position, or the first one if the position
// is in another text.
func (c compressed) part(after Position) Part {
	start := Position{Version: c.version, Checksum: c.checksum}
	if after.Version == c.version && after.Checksum == c.checksum && after.Offset > 0 && after.Offset < len(c.text) {
		start.Offset = after.Offset
	}
	return Part{Position: start, Size: len(c.text), Data: c.text[start.Offset:min(start.Offset+partBytes, len(c.text))]}
}

// Download assembles a configuration from its parts, which may come from several
// processes. It is safe for concurrent use.
type Download struct {
	mu       sync.Mutex
	position Position
	size     int
	text     []byte
}

// Position returns how much of which version has arrived.
func (d *Download) Position() Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position
}

// Add appends a part. It returns the configuration in the operators' format once it is
// complete, and nil before. The first part of another text replaces an unfinished one;
// a part that does not follow on what is there is an error.
func (d *Download) Add(part Part) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(part.Data) == 0 || part.Size > maxCompressedBytes || part.Offset < 0 || part.Offset+len(part.Data) > part.Size {
		return nil, errors.Newf("invalid part of configuration %d: %d bytes at %d of %d", part.Version, len(part.Data), part.Offset, part.Size)
	}
	if part.Offset == 0 {
		d.position, d.size, d.text = part.Position, part.Size, nil
	}
	if part.Position != d.position || part.Size != d.size {
		return nil, errors.Newf("part of configuration %d at %d does not follow on configuration %d at %d",
			part.Version, part.Offset, d.position.Version, d.position.Offset)
	}
	d.text = append(d.text, part.Data...)
	d.position.Offset = len(d.text)
	if len(d.text) < d.size {
		return nil, nil
	}
	text, checksum := d.text, d.position.Checksum
	d.position, d.size, d.text = Position{}, 0, nil
	if got := crc32.ChecksumIEEE(text); got != checksum {
		return nil, errors.Newf("configuration %d: the checksum of its parts is %08x, not %08x", part.Version, got, checksum)
	}
	encoded, err := codec.Inflate(text, maxEncodedBytes)
	return encoded, errors.Wrapf(err, "configuration %d", part.Version)
}
