package limit

// TransferRequest asks a peer for permits. Holding is the number of permits
// that the sender already has.
type TransferRequest struct {
	Team       string `json:"team"`
	Generation uint64 `json:"generation"`
	From       Member `json:"from"`
	To         Member `json:"to"`
	Want       int    `json:"want"`
	Holding    int    `json:"holding"`
}

// Transfer states how many permits From has sent To in a generation in total.
// The receiver keeps the greatest total, so lost, duplicated or reordered
// messages don't change the sum.
type Transfer struct {
	Team       string `json:"team"`
	Generation uint64 `json:"generation"`
	From       Member `json:"from"`
	To         Member `json:"to"`
	Total      int    `json:"total"`
}

// FreezeMode determines what work a frozen member may still start.
type FreezeMode string

// The modes of a FreezeRequest.
const (
	// FreezeOnly leaves the member all permits that it holds.
	FreezeOnly FreezeMode = "only"
	// FreezeTrim makes the member drop idle permits above Keep.
	FreezeTrim FreezeMode = "trim"
	// FreezeDrain makes the member start no more work in this generation and
	// drop each permit as its work ends.
	FreezeDrain FreezeMode = "hold"
)

// FreezeRequest asks a member to stop transferring permits in the generation
// that Row assigns it. Row is a committed row, never a proposal.
type FreezeRequest struct {
	To   Member     `json:"to"`
	Row  Allocation `json:"row"`
	Mode FreezeMode `json:"mode"`
	Keep int        `json:"keep"`
}

// Report lists a frozen member's permits and transfers in a generation. Sent
// and Received are final. Holding never rises again and bounds the member's
// running work until it applies a newer generation.
type Report struct {
	Team       string         `json:"team"`
	Generation uint64         `json:"generation"`
	Member     Member         `json:"member"`
	Holding    int            `json:"holding"`
	InUse      int            `json:"in-use"`
	Sent       map[Member]int `json:"sent,omitempty"`
	Received   map[Member]int `json:"received,omitempty"`
}

// Status holds a member's permit counts for one team, as gossiped to peers.
type Status struct {
	Team       string `json:"team"`
	Generation uint64 `json:"generation"`
	Limit      int    `json:"limit"`
	Holding    int    `json:"holding"`
	InUse      int    `json:"in-use"`
	Lingering  int    `json:"lingering"`
	// Idle is the number of permits that peers can request; 0 while frozen.
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
