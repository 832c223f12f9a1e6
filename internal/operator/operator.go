// Package operator implements the operators' HTTP API of a manager: the catalogue,
// API keys, configuration revisions, charges, the roster, hosts, maintenance waves
// and evacuations of data centres.
//
// # Usage
//
//	handler := operator.New(operator.Config{
//		Store:     store,
//		Committer: committer,
//		Fleet:     fleet,
//		Keys:      func() [][]byte { return keys },
//	})
//	server := &http.Server{Handler: handler}
//
// Every request must carry an operator key. A change that is answered with
// "accepted" is committed; GET /v1/revision reports whether it is in force in
// every process.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 16 << 20
	// commitTimeout bounds a commit, which continues if the client disconnects.
	commitTimeout = 10 * time.Second
	// maxRevisionWait bounds the wait parameter of GET /v1/revision.
	maxRevisionWait = time.Minute
	// confirmationInterval is the time between two checks of the confirmations
	// while a request waits for a revision.
	confirmationInterval = 25 * time.Millisecond
)

// ErrNotFound is returned by Records, Hosts and Waves for an unknown id or name.
var ErrNotFound = errors.New("no such record")

// Committer commits configuration changes; see revision.Committer.
type Committer interface {
	Commit(ctx context.Context, op revision.Operation, edit revision.Edit) (revision.Change, error)
}

// Fleet gives access to the processes of the roster.
type Fleet interface {
	// Push sends a committed change to every process, without waiting.
	Push(ctx context.Context, change revision.Change)
	// InForce returns the names of the processes that have confirmed the
	// revision or a newer one, and of those that have not.
	InForce(ctx context.Context, revision uint64) (confirmed, missing []string)
	// Roster returns the members of the roster.
	Roster(ctx context.Context) ([]api.Member, error)
}

// Records gives access to the records of runs.
type Records interface {
	// Charge returns the charge with the id, or ErrNotFound.
	Charge(ctx context.Context, id string) (api.Charge, error)
	// Unproven returns the runs that are not charged, each with the reason.
	Unproven(ctx context.Context) ([]api.Run, error)
}

// Hosts lists hosts, drains them and returns them to service.
type Hosts interface {
	Hosts(ctx context.Context) ([]api.Host, error)
	// DrainHost and ReturnHost return ErrNotFound for a host that the platform
	// does not list, and *pool.PhaseError for a change that the host's phase
	// does not allow. DrainHost returns *pool.EvacuatedError for a move that an
	// evacuation does not allow.
	DrainHost(ctx context.Context, name string, purpose pool.Purpose, target string) (api.Host, error)
	ReturnHost(ctx context.Context, name string) (api.Host, error)
}

// Waves manages maintenance waves, one for each pool. ResumeWave and StopWave
// return ErrNotFound for a pool without a wave.
type Waves interface {
	Waves(ctx context.Context) ([]api.Wave, error)
	StartWave(ctx context.Context, request api.WaveRequest) (api.Wave, error)
	ResumeWave(ctx context.Context, pool string) (api.Wave, error)
	StopWave(ctx context.Context, pool string) (api.Wave, error)
}

// Evacuations reports on the evacuated data centres.
type Evacuations interface {
	// Evacuations returns the evacuated data centres, sorted by name, with what
	// still runs there.
	Evacuations(ctx context.Context) ([]api.Evacuation, error)
}

// Config configures a Handler.
type Config struct {
	Store     table.Store
	Committer Committer
	Fleet     Fleet
	Records   Records
	Hosts     Hosts
	Waves     Waves
	// Evacuations lists the evacuations; Hosts names the known data centres.
	Evacuations Evacuations
	// Keys returns the operator keys in force.
	Keys func() [][]byte
	// Dump returns the process's state without secrets. It is optional.
	Dump func() any
}

// Handler serves the operators' API.
type Handler struct {
	config Config
	router *httprouter.Router
}

// New returns a Handler.
func New(config Config) *Handler {
	h := &Handler{config: config, router: httprouter.New()}
	h.router.GET("/v1/catalogue", h.getCatalogue)
	h.router.POST("/v1/catalogue", h.applyCatalogue)
	h.router.DELETE("/v1/entries/:name", h.removeEntry)
	h.router.GET("/v1/keys", h.listKeys)
	h.router.POST("/v1/keys", h.registerKey)
	h.router.DELETE("/v1/keys/:id", h.withdrawKey)
	h.router.GET("/v1/revision", h.getRevision)
	h.router.GET("/v1/charges/:id", h.getCharge)
	h.router.GET("/v1/unproven", h.listUnproven)
	h.router.GET("/v1/roster", h.listRoster)
	h.router.GET("/v1/dump", h.getDump)
	h.router.GET("/v1/waves", h.listWaves)
	h.router.POST("/v1/waves", h.startWave)
	h.router.POST("/v1/waves/:pool/resume", h.resumeWave)
	h.router.DELETE("/v1/waves/:pool", h.stopWave)
	h.router.GET("/v1/evacuations", h.listEvacuations)
	h.router.PUT("/v1/evacuations/:name", h.startEvacuation)
	h.router.DELETE("/v1/evacuations/:name", h.stopEvacuation)
	h.router.GET("/v1/hosts", h.listHosts)
	h.router.POST("/v1/hosts/:name/drain", h.drainHost)
	h.router.POST("/v1/hosts/:name/return", h.returnHost)
	h.router.NotFound = http.HandlerFunc(notFound)
	h.router.MethodNotAllowed = http.HandlerFunc(wrongMethod)
	h.router.PanicHandler = nil
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if problem := h.authorize(r); problem != nil {
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeProblem(w, *problem)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	h.router.ServeHTTP(w, r)
}

// authorize returns a problem if the request carries no valid operator key. It
// compares digests, so that the time taken reveals neither the length nor the
// content of a key.
func (h *Handler) authorize(r *http.Request) *api.Problem {
	presented, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || presented == "" {
		return &api.Problem{Status: http.StatusUnauthorized, Title: "operator key is missing", Reason: api.ReasonNoKey, Field: "Authorization", Outcome: api.OutcomeNotRun}
	}
	digest := sha256.Sum256([]byte(presented))
	match := 0
	for _, key := range h.config.Keys() {
		want := sha256.Sum256(key)
		match |= subtle.ConstantTimeCompare(digest[:], want[:])
	}
	if match == 1 {
		return nil
	}
	return &api.Problem{Status: http.StatusUnauthorized, Title: "operator key is wrong", Reason: api.ReasonWrongKey, Field: "Authorization", Outcome: api.OutcomeNotRun}
}

// commit commits a change and pushes it to the processes of the roster, even if
// the client disconnects meanwhile.
func (h *Handler) commit(ctx context.Context, op revision.Operation, edit revision.Edit) (revision.Change, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	change, err := h.config.Committer.Commit(ctx, op, edit)
	if err == nil && !change.Empty() {
		h.config.Fleet.Push(ctx, change)
	}
	return change, err
}
