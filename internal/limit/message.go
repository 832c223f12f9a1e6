package limit

// Ask requests permits from a peer; Holding is what the asker has already.
type TransferRequest struct {
	Team       string `json:"team"`
	Generation uint64 `json:"generation"`
	From       Member `json:"from"`
	To         Member `json:"to"`
	Want       int    `json:"want"`
	Holding    int    `json:"holding"`
}

// Transfer tells how many permits From has given To in a generation in total.
// The receiver keeps the greatest total seen, so that loss, repetition and
// reordering of transfers do no harm.
type Transfer struct {
	Team       string `json:"team"`
	Generation uint64 `json:"generation"`
	From       Member `json:"from"`
	To         Member `json:"to"`
	Total      int    `json:"total"`
}

// FreezeMode tells what a frozen member may still start.
type FreezeMode string

// The modes of a FreezeRequest.
const (
	// FreezeOnly leaves the member what it holds.
	FreezeOnly FreezeMode = "only"
	// FreezeTrim has the member give up idle permits above Keep for good.
	FreezeTrim FreezeMode = "trim"
	// FreezeHold has the member start nothing more in this generation and give
	// up each permit as its work ends.
	FreezeDrain FreezeMode = "hold"
)

// FreezeRequest asks a member to end its trade in the generation in which Row
// places it. Row is a committed row, never a proposal.
type FreezeRequest struct {
	To   Member     `json:"to"`
	Row  Allocation `json:"row"`
	Mode FreezeMode `json:"mode"`
	Keep int        `json:"keep"`
}

// Report is a frozen member's account of a generation. Sent and Received are
// final; Holding never rises again and bounds what the member runs until it
// adopts a newer generation.
type Report struct {
	Team       string         `json:"team"`
	Generation uint64         `json:"generation"`
	Member     Member         `json:"member"`
	Holding    int            `json:"holding"`
	InUse      int            `json:"in-use"`
	Sent       map[Member]int `json:"sent,omitempty"`
	Received   map[Member]int `json:"received,omitempty"`
}

// Status is what a member tells its peers of one team.
type Status struct {
	Team       string `json:"team"`
	Generation uint64 `json:"generation"`
	Limit      int    `json:"limit"`
	Holding    int    `json:"holding"`
	InUse      int    `json:"in-use"`
	Lingering  int    `json:"lingering"`
	// Idle is what a peer may ask for at once; 0 while frozen.
	Idle     int  `json:"idle"`
	Frozen   bool `json:"frozen"`
	Draining bool `json:"held"`
}

// Snapshot is the state dump of a Ledger.
type Snapshot struct {
	Self  Member         `json:"self"`
	Teams []TeamSnapshot `json:"teams"`
}

// TeamSnapshot is one team's part of a Snapshot.
type TeamSnapshot struct {
	Status
	Granted      int            `json:"granted"`
	RecentDemand int            `json:"need"`
	Reserved     int            `json:"pledged"`
	Sent         map[Member]int `json:"sent,omitempty"`
	Received     map[Member]int `json:"received,omitempty"`
}
