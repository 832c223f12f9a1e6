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

// settingsInterval is the time between two checks of the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// reloadLoop checks and logs changes of the settings file. Addresses and bounds
// take effect at the next start of the process.
func (n *nodeProcess) reloadLoop(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(n.config.SettingsPath)
	if err != nil {
		n.journal.Info("settings file not read", "error", err.Error())
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
			n.journal.Info("settings file not read", "error", err.Error())
			continue
		}
		if cause == "file" && bytes.Equal(text, last) {
			continue
		}
		last = text
		n.reload(text, cause)
	}
}

// reload decodes a changed settings file and logs whether it is valid.
func (n *nodeProcess) reload(text []byte, cause string) {
	settings, err := platform.DecodeSettings(text)
	if err != nil {
		n.journal.Info("reload", "cause", cause, "kept", true, "error", err.Error())
		return
	}
	n.journal.Info("reload", "cause", cause, "changed", settings.Bounds != n.settings.Bounds || settings.Store != n.settings.Store)
}
