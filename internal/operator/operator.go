// Package operator serves the operators' HTTP API of a manager.
//
// # Usage
//
//	handler := operator.New(operator.Config{
//		Store:  store,
//		Author: author,
//		Fleet:  fleet,
//		Keys:   func() [][]byte { return keys },
//	})
//	server := &http.Server{Handler: handler}
//
// Every request needs an operator key. A change that is answered with
// "accepted" is committed; GET /v1/revision tells whether it is in force on
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
	// maxBody bounds a request's body, in bytes.
	maxBody = 16 << 20
	// commitTimeout bounds a change, which goes on when its client has gone.
	commitTimeout = 10 * time.Second
	// longestWait bounds GET /v1/revision?wait=.
	longestWait = time.Minute
	// waitInterval is the time between looks at who has confirmed.
	waitInterval = 25 * time.Millisecond
)

// ErrNotFound is returned by Records for an id that it does not know.
var ErrNotFound = errors.New("no such record")

// Author commits changes; see revision.Author.
type Committer interface {
	Commit(ctx context.Context, op revision.Operation, edit revision.Edit) (revision.Change, error)
}

// Fleet reaches the other processes.
type Fleet interface {
	// Push sends a committed change to every process, without waiting.
	Push(ctx context.Context, change revision.Change)
	// InForce names the processes of the roster that confirmed the revision or
	// a newer one, and those that did not.
	InForce(ctx context.Context, revision uint64) (confirmed, missing []string)
	// Roster returns the processes.
	Roster(ctx context.Context) ([]api.Member, error)
}

// Records reads what is kept of runs.
type Records interface {
	// Charge returns ErrNotFound for an unknown id.
	Charge(ctx context.Context, id string) (api.Charge, error)
	Unproven(ctx context.Context) ([]api.Run, error)
}

// Hosts drains and returns hosts.
type Hosts interface {
	Hosts(ctx context.Context) ([]api.Host, error)
	// DrainHost and ReturnHost return ErrNotFound for a host that the platform
	// does not list, and *pool.PhaseError for a step that its phase forbids.
	DrainHost(ctx context.Context, name string, purpose pool.Purpose, target string) (api.Host, error)
	ReturnHost(ctx context.Context, name string) (api.Host, error)
}

// Waves runs maintenance waves; unknown pools are ErrNotFound.
type Waves interface {
	Waves(ctx context.Context) ([]api.Wave, error)
	StartWave(ctx context.Context, request api.WaveRequest) (api.Wave, error)
	ResumeWave(ctx context.Context, pool string) (api.Wave, error)
	StopWave(ctx context.Context, pool string) (api.Wave, error)
}

// Config configures a handler.
type Config struct {
	Store     table.Store
	Committer Committer
	Fleet     Fleet
	Records   Records
	Hosts     Hosts
	Waves     Waves
	// Keys returns the operator keys in force.
	Keys func() [][]byte
	// Dump returns the process's state, without secrets; optional.
	Dump func() any
}

// Handler is the API as an http.Handler.
type Handler struct {
	config Config
	router *httprouter.Router
}

// New returns a handler.
func New(config Config) *Handler {
	h := &Handler{config: config, router: httprouter.New()}
	h.router.GET("/v1/catalogue", h.getCatalogue)
	h.router.POST("/v1/catalogue", h.applyCatalogue)
	h.router.DELETE("/v1/entries/:name", h.removeEntry)
	h.router.GET("/v1/keys", h.listKeys)
	h.router.POST("/v1/keys", h.giveKey)
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
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	h.router.ServeHTTP(w, r)
}

// authorize compares digests, so that the time depends neither on a key's
// length nor on its content.
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

// commit runs a change to its end, whether or not the client stays, and
// pushes it.
func (h *Handler) commit(ctx context.Context, op revision.Operation, edit revision.Edit) (revision.Change, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	change, err := h.config.Committer.Commit(ctx, op, edit)
	if err == nil && !change.Empty() {
		h.config.Fleet.Push(ctx, change)
	}
	return change, err
}
