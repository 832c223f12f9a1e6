package platform

import "github.com/lovagedyke/lovagedyke/internal/table"

// ProcessHeader names the calling process in every request to the platform.
const ProcessHeader = "Lovagedyke-Process"

// WorkerService is the service name of workers in the list of hosts.
const WorkerService = "worker"

// Paths of the platform's HTTP interface.
const (
	GetPath    = "/table/get"
	ScanPath   = "/table/scan"
	CommitPath = "/table/commit"
	HostsPath  = "/hosts"
	// RebootAction is appended to a host's path.
	RebootAction = "/reboot"
	ObjectPath   = "/objects/"
)

// GetRequest is the body of a POST to GetPath.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of a POST to ScanPath.
type ScanRequest struct {
	Prefix string `json:"prefix"`
}

// RowsResponse is the response to a GetRequest or ScanRequest.
type RowsResponse struct {
	Rows []table.Row `json:"rows"`
}

// ConflictResponse is the body of a 409 response to a commit.
type ConflictResponse struct {
	Key  string `json:"key"`
	Want uint64 `json:"want"`
	Got  uint64 `json:"got"`
}

// HostsResponse is the response to a GET of HostsPath.
type HostsResponse struct {
	Hosts []Host `json:"hosts"`
}
