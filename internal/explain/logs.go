package explain

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// StdinName is the name that stands for standard input among the names of logs.
const StdinName = "-"

// gzipMagic is how compressed logs begin.
var gzipMagic = []byte{0x1f, 0x8b}

// Log is a log that has not been opened yet.
type Log struct {
	Name string
	open func() (io.ReadCloser, error)
}

// Logs returns the logs that the names stand for: files, all files below directories, and
// stdin for StdinName.
func Logs(names []string, stdin io.Reader) ([]Log, error) {
	var logs []Log
	for _, name := range names {
		if name == StdinName {
			logs = append(logs, Log{Name: "standard input", open: func() (io.ReadCloser, error) { return io.NopCloser(stdin), nil }})
			continue
		}
		err := filepath.WalkDir(name, func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if !entry.IsDir() {
				logs = append(logs, Log{Name: path, open: func() (io.ReadCloser, error) { return os.Open(path) }})
			}
			return nil
		})
		if err != nil {
			return nil, errors.Wrap(err, "find the logs")
		}
	}
	if len(logs) == 0 {
		return nil, errors.New("the directories contain no file")
	}
	return logs, nil
}

// AddTo adds the log's lines, which may be compressed by gzip, to a collector.
func (l Log) AddTo(collector *Collector) error {
	file, err := l.open()
	if err != nil {
		return errors.Wrap(err, "open a log")
	}
	defer func() { _ = file.Close() }() // only read
	buffered := bufio.NewReader(file)
	start, err := buffered.Peek(len(gzipMagic))
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrapf(err, "read %s", l.Name)
	}
	if !bytes.Equal(start, gzipMagic) {
		return errors.Wrap(collector.Add(buffered), l.Name)
	}
	text, err := gzip.NewReader(buffered)
	if err != nil {
		return errors.Wrapf(err, "decompress %s", l.Name)
	}
	return errors.Wrap(collector.Add(text), l.Name)
}
