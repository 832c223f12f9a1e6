package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/bytesize"
)

// definition defines a setting. Its name is the name of the flag and of the key in
// the INI file; environmentName derives the environment variable from it.
type definition struct {
	section, name string
	defaultValue  string
	usage         string
	// want describes valid values.
	want  string
	parse func(c *Config, text string) error
}

const (
	wantName     = "lower-case letters, digits and hyphens"
	wantAddress  = "an IP number and port such as 127.0.0.1:8080"
	wantFile     = "a file name"
	wantDuration = "a duration with its unit, such as 2s or 500ms"
	wantSize     = "a size with its unit, such as 64KiB"
	wantWeight   = "a number from 0 to 100"
	wantCount    = "a whole number above 0"
)

var definitions = []definition{
	{"process", "name", "", "name of this process, unique in the fleet", wantName, name(func(c *Config) *string { return &c.Name })},
	{"process", "host", "", "name of its host in the platform's list", wantName, name(func(c *Config) *string { return &c.Host })},
	{"process", "data-centre", "", "data centre of this process", wantName, name(func(c *Config) *string { return &c.DataCentre })},
	{"process", "role", "", "program that the settings are for; checked when set", "entry or manager", choice(func(c *Config) *Role { return &c.Role }, RoleEntry, RoleManager)},

	{"addresses", "caller-address", "", "address on which an entry accepts callers' requests", wantAddress, address(func(c *Config) *netip.AddrPort { return &c.CallerAddress })},
	{"addresses", "peer-address", "", "address on which this process accepts requests of the system's other processes", wantAddress, address(func(c *Config) *netip.AddrPort { return &c.PeerAddress })},
	{"addresses", "operator-address", "", "address on which a manager accepts operators' requests", wantAddress, address(func(c *Config) *netip.AddrPort { return &c.OperatorAddress })},
	{"addresses", "operations-address", "", "address on which metrics, health and the dump are served", wantAddress, address(func(c *Config) *netip.AddrPort { return &c.OperationsAddress })},
	{"addresses", "platform-address", "", "address of the platform's services", wantAddress, address(func(c *Config) *netip.AddrPort { return &c.PlatformAddress })},

	{"security", "peer-certificate", "", "PEM certificate of the peer port", wantFile, text(func(c *Config) *string { return &c.PeerTLS.Certificate })},
	{"security", "peer-key", "", "PEM key of the peer port", wantFile, text(func(c *Config) *string { return &c.PeerTLS.Key })},
	{"security", "peer-authority", "", "PEM certificates of the authority that signs peers", wantFile, text(func(c *Config) *string { return &c.PeerTLS.Authority })},
	{"security", "peer-secret-file", "", "file with the secret that peers share; needed without peer certificates", wantFile, text(func(c *Config) *string { return &c.PeerSecretFile })},
	{"security", "operator-certificate", "", "PEM certificate of the operators' port", wantFile, text(func(c *Config) *string { return &c.OperatorTLS.Certificate })},
	{"security", "operator-key", "", "PEM key of the operators' port", wantFile, text(func(c *Config) *string { return &c.OperatorTLS.Key })},
	{"security", "operator-authority", "", "PEM certificates of the authority that signs operators", wantFile, text(func(c *Config) *string { return &c.OperatorTLS.Authority })},
	{"security", "operator-key-file", "", "file with the key that operators present", wantFile, text(func(c *Config) *string { return &c.OperatorKeyFile })},

	{"log", "log-format", string(LogText), "format of the log lines", "text or json", choice(func(c *Config) *LogFormat { return &c.LogFormat }, LogText, LogJSON)},
	{"log", "log-level", "info", "lowest level that is logged", "debug, info, warn or error", choice(func(c *Config) *string { return &c.LogLevel }, "debug", "info", "warn", "error")},

	{"stop", "grace", "30s", "time limit of a planned shutdown", wantDuration, duration(func(c *Config) *time.Duration { return &c.Grace })},
	{"stop", "balancer-delay", "5s", "time for the balancer to notice a planned shutdown", wantDuration, duration(func(c *Config) *time.Duration { return &c.BalancerDelay })},

	{"requests", "max-header", "64KiB", "largest header of a request", wantSize, size(func(c *Config) *int64 { return &c.MaxHeader })},
	{"requests", "max-body", "1GiB", "largest body of a request, whatever the catalogue says", wantSize, size(func(c *Config) *int64 { return &c.MaxBody })},
	{"requests", "client-memory", "256MiB", "memory for the bodies that callers or peers have sent", wantSize, size(func(c *Config) *int64 { return &c.ClientMemory })},
	{"requests", "max-connections", "4096", "largest number of connections to a port; beyond it, those idle or stalled for longest are closed", wantCount, count(func(c *Config) *int { return &c.MaxConnections })},
	{"requests", "read-header-timeout", "5s", "time limit for reading a request's header", wantDuration, duration(func(c *Config) *time.Duration { return &c.ReadHeaderTimeout })},

	{"agreement", "gossip-interval", "100ms", "time between exchanges with peers", wantDuration, duration(func(c *Config) *time.Duration { return &c.GossipInterval })},
	{"agreement", "poll-interval", "1s", "time between reads of the newest revision", wantDuration, duration(func(c *Config) *time.Duration { return &c.PollInterval })},
	{"agreement", "fresh-bound", "3s", "how long keyed work is admitted after the configuration was confirmed", wantDuration, duration(func(c *Config) *time.Duration { return &c.FreshBound })},
	{"agreement", "claim-retention", "24h", "how long the record of an idempotent request is kept", wantDuration, duration(func(c *Config) *time.Duration { return &c.ClaimRetention })},

	{"agreement", "list-lag", "10s", "how far the platform's list of hosts may lag behind", wantDuration, duration(func(c *Config) *time.Duration { return &c.ListLag })},

	{"maintenance", "reboot-limit", "10m", "how long a host may take to come back in a wave", wantDuration, duration(func(c *Config) *time.Duration { return &c.RebootLimit })},

	{"weights", "buffer-cost", "1", "weight of idle spare hosts", wantWeight, weight(func(c *Config) *float64 { return &c.Weights.BufferCost })},
	{"weights", "moves", "1", "weight of hosts' moves between pools", wantWeight, weight(func(c *Config) *float64 { return &c.Weights.Moves })},
	{"weights", "share-nearness", "1", "weight of how close each team comes to its share", wantWeight, weight(func(c *Config) *float64 { return &c.Weights.ShareNearness })},
	{"weights", "roll-out-time", "1", "weight of the time that maintenance waves take", wantWeight, weight(func(c *Config) *float64 { return &c.Weights.RollOutTime })},
}

func settingNames() []string {
	all := make([]string, len(definitions))
	for i, d := range definitions {
		all[i] = d.name
	}
	return all
}

func findDefinition(name string) (definition, bool) {
	i := slices.IndexFunc(definitions, func(d definition) bool { return d.name == name })
	if i < 0 {
		return definition{}, false
	}
	return definitions[i], true
}

// setter parses text and sets a field of c.
type setter func(c *Config, text string) error

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

func name(field func(*Config) *string) setter {
	return func(c *Config, text string) error {
		if !validName.MatchString(text) {
			return fmt.Errorf("name %q is malformed", text)
		}
		*field(c) = text
		return nil
	}
}

func text(field func(*Config) *string) setter {
	return func(c *Config, text string) error {
		*field(c) = text
		return nil
	}
}

func choice[T ~string](field func(*Config) *T, known ...T) setter {
	return func(c *Config, text string) error {
		if !slices.Contains(known, T(text)) {
			return fmt.Errorf("value %q is unknown", text)
		}
		*field(c) = T(text)
		return nil
	}
}

func address(field func(*Config) *netip.AddrPort) setter {
	return func(c *Config, text string) error {
		parsed, err := netip.ParseAddrPort(text)
		if err != nil || strings.Contains(text, "%") {
			return fmt.Errorf("address %q is malformed", text)
		}
		*field(c) = parsed
		return nil
	}
}

func duration(field func(*Config) *time.Duration) setter {
	return func(c *Config, text string) error {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed <= 0 {
			return fmt.Errorf("duration %q is malformed", text)
		}
		*field(c) = parsed
		return nil
	}
}

func size(field func(*Config) *int64) setter {
	return func(c *Config, text string) error {
		parsed, err := bytesize.Parse(text)
		if err != nil || parsed == 0 {
			return fmt.Errorf("size %q is malformed", text)
		}
		*field(c) = parsed
		return nil
	}
}

func count(field func(*Config) *int) setter {
	return func(c *Config, text string) error {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed <= 0 {
			return fmt.Errorf("count %q is malformed", text)
		}
		*field(c) = parsed
		return nil
	}
}

const maxWeight = 100

func weight(field func(*Config) *float64) setter {
	return func(c *Config, text string) error {
		parsed, err := strconv.ParseFloat(text, 64)
		if err != nil || !(parsed >= 0 && parsed <= maxWeight) {
			return fmt.Errorf("weight %q is malformed", text)
		}
		*field(c) = parsed
		return nil
	}
}
