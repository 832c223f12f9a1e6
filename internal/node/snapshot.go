package node

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// Snapshot is the node's part of a state dump. It holds no secrets.
type Snapshot struct {
	Self          roster.Member         `json:"self"`
	Roster        roster.Roster         `json:"roster"`
	RowVersion    uint64                `json:"roster-row-version"`
	Configuration ConfigurationSnapshot `json:"configuration"`
	Peers         []PeerStatus          `json:"peers"`
	Permits       limit.Snapshot        `json:"permits"`
}

// ConfigurationSnapshot describes the configuration in force.
type ConfigurationSnapshot struct {
	Revision   uint64    `json:"revision"`
	Fresh      bool      `json:"fresh"`
	FreshUntil time.Time `json:"fresh-until"`
	Teams      int       `json:"teams"`
	Entries    int       `json:"entries"`
	Keys       int       `json:"keys"`
	// Evacuated lists the evacuated data centres.
	Evacuated []string `json:"evacuated"`
}

// Snapshot returns the node's current state.
func (n *Node) Snapshot() Snapshot {
	members, rowVersion := n.Roster()
	view := n.configuration.View()
	return Snapshot{
		Self:       n.config.Self,
		Roster:     members,
		RowVersion: rowVersion,
		Configuration: ConfigurationSnapshot{
			Revision: view.State.Revision, Fresh: view.Fresh(time.Now()), FreshUntil: view.FreshUntil,
			Teams: len(view.State.Catalogue.Teams), Entries: len(view.State.Catalogue.Entries),
			Keys: len(view.State.Keys.Keys()), Evacuated: append([]string{}, view.State.EvacuatedDataCentres()...),
		},
		Peers:   n.Peers(),
		Permits: n.ledger.Snapshot(),
	}
}
