// Package logging configures the structured log of a process: one line per event,
// with field names in kebab case.
//
// # Usage
//
//	logger := logging.New(logging.Config{Writer: os.Stderr, Format: settings.LogJSON, Level: "info"})
//	logger.Info("request refused", "request-id", id, "reason", reason)
//
// Keys are never logged: keyring.Secret and keyring.Key redact themselves when
// printed.
package logging

import (
	"io"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagedyke/lovagedyke/internal/settings"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Config configures a logger.
type Config struct {
	Writer io.Writer
	Format settings.LogFormat
	// Level is debug, info, warn or error; anything else means info.
	Level string
	// Fields are added to every line, as alternating names and values.
	Fields []any
}

// New returns a logger with timestamps in UTC.
func New(config Config) *log.Logger {
	level, err := log.ParseLevel(config.Level)
	if err != nil {
		level = log.InfoLevel
	}
	formatter := log.TextFormatter
	if config.Format == settings.LogJSON {
		formatter = log.JSONFormatter
	}
	return log.NewWithOptions(config.Writer, log.Options{
		Level:           level,
		Formatter:       formatter,
		ReportTimestamp: true,
		TimeFormat:      timeFormat,
		TimeFunction:    func(t time.Time) time.Time { return t.UTC() },
		Fields:          config.Fields,
	})
}
