package main

import (
	"strconv"

	"github.com/lovagedyke/lovagedyke/pkg/api"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

var cmdRoster = &Cmd{
	Name: "roster",
	Args: "[flags]",
	Desc: "list the system's processes",
	Setup: listCommand[[]api.Member]{
		header: []string{"NAME", "ROLE", "DATA-CENTRE", "ADDRESS", "REVISION", "STATE"},
		fetch:  (*client.Client).Roster,
		rows:   memberRows,
	}.setup,
}

func memberRows(members []api.Member) [][]string {
	var rows [][]string
	for _, m := range members {
		rows = append(rows, []string{m.Name, m.Role, m.DataCentre, m.Address, strconv.FormatUint(m.Revision, 10), m.State})
	}
	return rows
}
