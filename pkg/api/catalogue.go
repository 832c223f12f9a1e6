package api

// Catalogue holds the teams, services and queues that operators declare. Teams
// and entries are sorted by name in responses, and in any order in requests.
type Catalogue struct {
	Teams   []Team  `json:"teams"`
	Entries []Entry `json:"entries"`
}

// Team is a group of submitters with a fleet-wide upper limit.
type Team struct {
	Name       string `json:"name"`
	UpperLimit int    `json:"upper-limit"`
	Share      int    `json:"share"`
}

// Entry is a service or queue of the catalogue.
type Entry struct {
	Name  string `json:"name"`
	Kind  string `json:"kind"`
	Team  string `json:"team"`
	Class string `json:"class"`
	Open  bool   `json:"open,omitempty"`
	// Shares holds the weight of each team that may use the entry.
	Shares map[string]int `json:"shares,omitempty"`
	// Limit is the maximum number of concurrent runs; 0 means no limit.
	Limit int `json:"limit,omitempty"`
	// MaxBody is in bytes.
	MaxBody      int64    `json:"max-body"`
	Deadline     Duration `json:"deadline"`
	LongestRun   Duration `json:"longest-run"`
	Availability float64  `json:"availability"`
	Pool         string   `json:"pool"`
	// Revision is the revision that last changed the entry; set by the manager.
	Revision uint64 `json:"revision,omitempty"`
}
