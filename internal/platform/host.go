package platform

import "net/netip"

// State says whether a host may be given work.
type State string

// States of a host in the platform's list.
const (
	Live      State = "live"
	Leaving   State = "leaving"
	Rebooting State = "rebooting"
)

// Endpoint is one service's listener on a host.
type Endpoint struct {
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
}

// Host is one host as the platform lists it. The list lags behind the truth.
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
