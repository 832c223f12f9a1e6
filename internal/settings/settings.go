// Package settings reads the settings of a process once, at its start.
//
// # Usage
//
// A flag goes before the environment (LOVAGEDYKE_CALLER_ADDRESS for
// -caller-address), which goes before the INI file named by -settings:
//
//	config, rest, err := settings.Load(os.Args[2:], os.Getenv)
//	if err == nil {
//		err = config.Require(settings.RoleEntry)
//	}
//
// The error lists every mistake with its source.
package settings

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Role tells which of the long-running programs the settings are for.
type Role string

// The roles of a process.
const (
	RoleEntry   Role = "entry"
	RoleManager Role = "manager"
)

// LogFormat is the form of the log lines.
type LogFormat string

// The forms of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// TLSFiles names the PEM files of one port; all are set or none is.
type TLSFiles struct {
	Certificate, Key, Authority string
}

// Enabled reports whether the port uses TLS.
func (f TLSFiles) Enabled() bool {
	return f.Certificate != ""
}

// Weights say how much the deployment cares about each of the four measures.
type Weights struct {
	BufferCost, Moves, ShareNearness, RollOutTime float64
}

// measures is the number of weights.
const measures = 4

// RelativeRollOutTime is the weight of roll-out time over the mean of all
// weights, 1 when none is set.
func (w Weights) RelativeRollOutTime() float64 {
	mean := (w.BufferCost + w.Moves + w.ShareNearness + w.RollOutTime) / measures
	if mean == 0 {
		return 1
	}
	return w.RollOutTime / mean
}

// Config holds the settings of a long-running process. Names, units and
// defaults stand in definitions.
type Config struct {
	Name       string
	Host       string
	DataCentre string
	Role       Role
	// Incarnation tells this run of the process from others; a later run has
	// a greater one. It is made by Load and is no setting.
	Incarnation uint64

	CallerAddress     netip.AddrPort
	PeerAddress       netip.AddrPort
	OperatorAddress   netip.AddrPort
	OperationsAddress netip.AddrPort
	PlatformAddress   netip.AddrPort

	PeerTLS         TLSFiles
	OperatorTLS     TLSFiles
	OperatorKeyFile string
	PeerSecretFile  string

	LogFormat LogFormat
	LogLevel  string

	// Grace bounds a planned stop; BalancerDelay is the part of it in which the
	// listener stays open for the balancer to notice.
	Grace         time.Duration
	BalancerDelay time.Duration

	// MaxHeader and MaxBody are in bytes.
	MaxHeader         int64
	MaxBody           int64
	ReadHeaderTimeout time.Duration

	GossipInterval time.Duration
	PollInterval   time.Duration
	FreshBound     time.Duration
	ClaimRetention time.Duration
	ListLag        time.Duration
	RebootLimit    time.Duration

	Weights Weights
}

// incarnationRandomBits tells apart runs that start in the same millisecond.
const incarnationRandomBits = 20

func newIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}
