package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/lovagedyke/lovagedyke/internal/problem"
)

// minSecretLength is in characters.
const minSecretLength = 32

// check returns mistakes in the combination of settings. Settings that are malformed
// or missing have their zero value; they are reported by parseValues and Require.
func (c Config) check(sourceOf func(string) string) problem.List {
	var found problem.List
	add := func(name, message, want string) {
		found.Add(problem.Problem{File: sourceOf(name), Field: name, Message: message, Want: want})
	}
	checkTLS := func(port string, files TLSFiles, at netip.AddrPort) {
		set := []bool{files.Certificate != "", files.Key != "", files.Authority != ""}
		if set[0] != set[1] || set[1] != set[2] {
			add(port+"-certificate", "is set without its key or authority", fmt.Sprintf("%s-certificate, %s-key and %s-authority, or none", port, port, port))
		}
		if !files.Enabled() && at.IsValid() && !at.Addr().IsLoopback() {
			add(port+"-address", fmt.Sprintf("%s is not a loopback address and has no certificate", at), port+"-certificate, or a loopback address")
		}
	}
	checkTLS("peer", c.PeerTLS, c.PeerAddress)
	checkTLS("operator", c.OperatorTLS, c.OperatorAddress)
	if c.PeerAddress.IsValid() && !c.PeerTLS.Enabled() && c.PeerSecretFile == "" {
		add("peer-secret-file", "is missing", "a file with a secret, or peer certificates")
	}
	if c.Grace > 0 && c.BalancerDelay >= c.Grace {
		add("balancer-delay", fmt.Sprintf("is %s", c.BalancerDelay), fmt.Sprintf("less than grace, %s", c.Grace))
	}
	if c.FreshBound > 0 && c.PollInterval >= c.FreshBound {
		add("poll-interval", fmt.Sprintf("is %s", c.PollInterval), fmt.Sprintf("less than fresh-bound, %s", c.FreshBound))
	}
	for name, file := range c.files() {
		if _, err := os.Stat(file); err != nil {
			add(name, fmt.Sprintf("%q is unreadable", file), "a file that exists")
		}
	}
	found.Sort()
	return found
}

// files returns the names of the files that are set, by setting.
func (c Config) files() map[string]string {
	files := map[string]string{
		"peer-certificate":     c.PeerTLS.Certificate,
		"peer-key":             c.PeerTLS.Key,
		"peer-authority":       c.PeerTLS.Authority,
		"peer-secret-file":     c.PeerSecretFile,
		"operator-certificate": c.OperatorTLS.Certificate,
		"operator-key":         c.OperatorTLS.Key,
		"operator-authority":   c.OperatorTLS.Authority,
		"operator-key-file":    c.OperatorKeyFile,
	}
	for name, file := range files {
		if file == "" {
			delete(files, name)
		}
	}
	return files
}

// Require returns a problem.List of the settings that the role requires and that are
// missing.
func (c Config) Require(role Role) error {
	var found problem.List
	require := func(present bool, name string) {
		if present {
			return
		}
		d, _ := findDefinition(name)
		found.Add(problem.Problem{Field: name, Message: "is missing", Want: d.want})
	}
	if c.Role != "" && c.Role != role {
		found.Add(problem.Problem{Field: "role", Message: fmt.Sprintf("is %s", c.Role), Want: string(role)})
	}
	require(c.Name != "", "name")
	require(c.Host != "", "host")
	require(c.DataCentre != "", "data-centre")
	require(c.PeerAddress.IsValid(), "peer-address")
	require(c.OperationsAddress.IsValid(), "operations-address")
	require(c.PlatformAddress.IsValid(), "platform-address")
	if role == RoleEntry {
		require(c.CallerAddress.IsValid(), "caller-address")
	}
	if role == RoleManager {
		require(c.OperatorAddress.IsValid(), "operator-address")
		require(c.OperatorKeyFile != "", "operator-key-file")
	}
	return found.Err()
}

// ReadSecret reads a secret from a file and trims the space around it.
func ReadSecret(file string) ([]byte, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	secret := strings.TrimSpace(string(content))
	if len(secret) < minSecretLength {
		return nil, fmt.Errorf("secret in %q has %d characters, want at least %d", file, len(secret), minSecretLength)
	}
	return []byte(secret), nil
}
