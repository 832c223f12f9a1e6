package platform

import "net/netip"

// State is a host's state, which determines whether it can be assigned work.
type State string

// States of a host in the platform's list.
const (
	Live      State = "live"
	Leaving   State = "leaving"
	Rebooting State = "rebooting"
)

// Endpoint is the address of a service on a host.
type Endpoint struct {
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
}

// Host is an entry of the platform's list of hosts, which lags behind the hosts'
// actual states.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Rack       string `json:"rack"`
	Pool       string `json:"pool"`
	State      State  `json:"state"`
	// Boot counts the host's starts.
	Boot      uint64     `json:"boot,omitempty"`
	Endpoints []Endpoint `json:"endpoints,omitempty"`
}
