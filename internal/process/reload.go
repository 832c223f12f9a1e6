package process

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lovagedyke/lovagedyke/platform"
)

// settingsEvery is the time between two looks at the settings file, which may
// change without a signal.
const settingsEvery = 2 * time.Second

// reloadLoop notes changes of the settings file. Addresses and bounds hold for
// one life of the process: they are in force from its next start.
func (n *frontNode) reloadLoop(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	last, err := os.ReadFile(n.config.SettingsPath)
	if err != nil {
		n.journal.Info("settings not read", "error", err.Error())
	}
	for {
		cause := "file"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			cause = "signal"
		case <-ticker.C:
		}
		text, err := os.ReadFile(n.config.SettingsPath)
		if err != nil {
			n.journal.Info("settings not read", "error", err.Error())
			continue
		}
		if cause == "file" && bytes.Equal(text, last) {
			continue
		}
		last = text
		n.reload(text, cause)
	}
}

// reload checks a changed settings file.
func (n *frontNode) reload(text []byte, cause string) {
	settings, err := platform.DecodeSettings(text)
	if err != nil {
		n.journal.Info("reload", "cause", cause, "kept", true, "error", err.Error())
		return
	}
	n.journal.Info("reload", "cause", cause, "changed", settings.Bounds != n.settings.Bounds || settings.Store != n.settings.Store)
}
