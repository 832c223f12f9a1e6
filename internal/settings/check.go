package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/lovagedyke/lovagedyke/internal/problem"
)

// shortestSecret is in characters.
const shortestSecret = 32

// check returns the mistakes that concern several settings. Settings that are
// malformed or missing have their zero value and are reported elsewhere.
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
			add(port+"-address", fmt.Sprintf("%s is no loopback address and has no certificate", at), port+"-certificate, or a loopback address")
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

// files returns the files that are set, by the setting's name.
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

// Require reports the settings that a program of the role needs and that are
// missing, as a problem.List.
func (c Config) Require(role Role) error {
	var found problem.List
	need := func(present bool, name string) {
		if present {
			return
		}
		d, _ := find(name)
		found.Add(problem.Problem{Field: name, Message: "is missing", Want: d.want})
	}
	if c.Role != "" && c.Role != role {
		found.Add(problem.Problem{Field: "role", Message: fmt.Sprintf("is %s", c.Role), Want: string(role)})
	}
	need(c.Name != "", "name")
	need(c.Host != "", "host")
	need(c.DataCentre != "", "data-centre")
	need(c.PeerAddress.IsValid(), "peer-address")
	need(c.OperationsAddress.IsValid(), "operations-address")
	need(c.PlatformAddress.IsValid(), "platform-address")
	if role == RoleEntry {
		need(c.CallerAddress.IsValid(), "caller-address")
	}
	if role == RoleManager {
		need(c.OperatorAddress.IsValid(), "operator-address")
		need(c.OperatorKeyFile != "", "operator-key-file")
	}
	return found.Err()
}

// ReadSecret reads a secret from a file, without the space around it.
func ReadSecret(file string) ([]byte, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	secret := strings.TrimSpace(string(content))
	if len(secret) < shortestSecret {
		return nil, fmt.Errorf("secret in %q has %d characters, want at least %d", file, len(secret), shortestSecret)
	}
	return []byte(secret), nil
}
