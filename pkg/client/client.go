// Package client is a client for the operators' API of lovagedyke's managers.
//
// # Usage
//
//	c := client.New(client.Config{Managers: managers, Key: key})
//	response, err := c.Apply(ctx, api.ApplyRequest{Catalogue: desired, Expected: &revision})
//
// A call without a response is retried at the next manager. A change is retried
// under the same operation id, so that it takes effect once. Errors are
// *api.Problem when a manager refused, and wrap ErrUnavailable when none
// answered.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/bounded"
	"github.com/lovagedyke/lovagedyke/internal/keyring"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const (
	defaultAttempts  = 6
	attemptTimeout   = 15 * time.Second
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	maxResponseBytes = 64 << 20
)

// ErrUnavailable means that no manager answered. A change may still have been
// accepted; repeating it under the same operation id returns its result.
var ErrUnavailable = errors.New("no manager answered")

// Config configures a client.
type Config struct {
	// Managers are tried in order.
	Managers []netip.AddrPort
	// Key is the operator key.
	Key string
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Attempts is the maximum number of times a call is sent; 0 means 6.
	Attempts int
}

// Client calls managers. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// New returns a client.
func New(config Config) *Client {
	if config.Attempts == 0 {
		config.Attempts = defaultAttempts
	}
	transport := &http.Transport{TLSClientConfig: config.TLS, IdleConnTimeout: time.Minute}
	return &Client{config: config, http: &http.Client{Transport: transport}}
}

// NewOperation returns a random operation id, under which a change can be
// retried safely.
func NewOperation() string {
	return rand.Text()
}

// Catalogue returns the catalogue with its revision.
func (c *Client) Catalogue(ctx context.Context) (api.CatalogueResponse, error) {
	return call[api.CatalogueResponse](ctx, c, request{method: http.MethodGet, path: "/v1/catalogue"})
}

// Apply replaces the whole catalogue.
func (c *Client) Apply(ctx context.Context, in api.ApplyRequest) (api.ChangeResponse, error) {
	if in.Operation == "" {
		in.Operation = NewOperation()
	}
	return call[api.ChangeResponse](ctx, c, request{method: http.MethodPost, path: "/v1/catalogue", body: in})
}

// RemoveEntry removes a service or queue. The operation id may be empty.
func (c *Client) RemoveEntry(ctx context.Context, name, operation string, expected *uint64) (api.ChangeResponse, error) {
	query := operationQuery(operation)
	if expected != nil {
		query.Set("expected-revision", strconv.FormatUint(*expected, 10))
	}
	return call[api.ChangeResponse](ctx, c, request{method: http.MethodDelete, path: "/v1/entries/" + url.PathEscape(name), query: query})
}

// IssueKey generates a key for a team and registers it. This is the only time
// the key is returned; the managers store its hash.
func (c *Client) IssueKey(ctx context.Context, team string) (key string, response api.ChangeResponse, err error) {
	secret, registered, err := keyring.New(rand.Reader, team)
	if err != nil {
		return "", response, err
	}
	keyRequest := api.IssueKeyRequest{ID: registered.ID, Team: team, Hash: registered.Hash, Operation: NewOperation()}
	response, err = call[api.ChangeResponse](ctx, c, request{method: http.MethodPost, path: "/v1/keys", body: keyRequest})
	if err != nil {
		return "", response, err
	}
	return secret.Reveal(), response, nil
}

// WithdrawKey withdraws a key. The operation id may be empty.
func (c *Client) WithdrawKey(ctx context.Context, id, operation string) (api.ChangeResponse, error) {
	return call[api.ChangeResponse](ctx, c, request{method: http.MethodDelete, path: "/v1/keys/" + url.PathEscape(id), query: operationQuery(operation)})
}

// Keys lists the keys, without secrets.
func (c *Client) Keys(ctx context.Context) ([]api.Key, error) {
	return call[[]api.Key](ctx, c, request{method: http.MethodGet, path: "/v1/keys"})
}

// Revision reports where a revision is in force. It waits until the revision is
// in force everywhere, up to the given time.
func (c *Client) Revision(ctx context.Context, revision uint64, wait time.Duration) (api.RevisionResponse, error) {
	query := url.Values{"revision": {strconv.FormatUint(revision, 10)}, "wait": {wait.String()}}
	return call[api.RevisionResponse](ctx, c, request{method: http.MethodGet, path: "/v1/revision", query: query, wait: wait})
}

// Charge returns a charge with its run.
func (c *Client) Charge(ctx context.Context, id string) (api.Charge, error) {
	return call[api.Charge](ctx, c, request{method: http.MethodGet, path: "/v1/charges/" + url.PathEscape(id)})
}

// Unproven lists the runs that cannot be proved and are therefore not charged.
func (c *Client) Unproven(ctx context.Context) ([]api.Run, error) {
	return call[[]api.Run](ctx, c, request{method: http.MethodGet, path: "/v1/unproven"})
}

// Waves lists the maintenance waves.
func (c *Client) Waves(ctx context.Context) ([]api.Wave, error) {
	return call[[]api.Wave](ctx, c, request{method: http.MethodGet, path: "/v1/waves"})
}

// StartWave starts a wave over a pool; an unfinished wave continues.
func (c *Client) StartWave(ctx context.Context, in api.WaveRequest) (api.Wave, error) {
	return call[api.Wave](ctx, c, request{method: http.MethodPost, path: "/v1/waves", body: in})
}

// ResumeWave resumes a stopped wave.
func (c *Client) ResumeWave(ctx context.Context, pool string) (api.Wave, error) {
	return call[api.Wave](ctx, c, request{method: http.MethodPost, path: "/v1/waves/" + url.PathEscape(pool) + "/resume"})
}

// StopWave ends a wave; hosts that are down stay down.
func (c *Client) StopWave(ctx context.Context, pool string) (api.Wave, error) {
	return call[api.Wave](ctx, c, request{method: http.MethodDelete, path: "/v1/waves/" + url.PathEscape(pool)})
}

// Hosts lists the platform's hosts with their pools.
func (c *Client) Hosts(ctx context.Context) ([]api.Host, error) {
	return call[[]api.Host](ctx, c, request{method: http.MethodGet, path: "/v1/hosts"})
}

// DrainHost stops new work on a host. It is idempotent.
func (c *Client) DrainHost(ctx context.Context, name string, in api.DrainRequest) (api.Host, error) {
	return call[api.Host](ctx, c, request{method: http.MethodPost, path: "/v1/hosts/" + url.PathEscape(name) + "/drain", body: in})
}

// ReturnHost returns a host to service in its pool. It is idempotent.
func (c *Client) ReturnHost(ctx context.Context, name string) (api.Host, error) {
	return call[api.Host](ctx, c, request{method: http.MethodPost, path: "/v1/hosts/" + url.PathEscape(name) + "/return"})
}

// Evacuations lists the evacuated data centres with what still runs there.
func (c *Client) Evacuations(ctx context.Context) ([]api.Evacuation, error) {
	return call[[]api.Evacuation](ctx, c, request{method: http.MethodGet, path: "/v1/evacuations"})
}

// StartEvacuation stops new work in a data centre. It changes nothing if the data
// centre is evacuated already. The operation id may be empty.
func (c *Client) StartEvacuation(ctx context.Context, dataCentre, operation string) (api.ChangeResponse, error) {
	return call[api.ChangeResponse](ctx, c, request{method: http.MethodPut, path: evacuationPath(dataCentre), query: operationQuery(operation)})
}

// StopEvacuation lets work start in a data centre again. It changes nothing if the
// data centre is not evacuated. The operation id may be empty.
func (c *Client) StopEvacuation(ctx context.Context, dataCentre, operation string) (api.ChangeResponse, error) {
	return call[api.ChangeResponse](ctx, c, request{method: http.MethodDelete, path: evacuationPath(dataCentre), query: operationQuery(operation)})
}

func evacuationPath(dataCentre string) string {
	return "/v1/evacuations/" + url.PathEscape(dataCentre)
}

// Roster lists the system's processes.
func (c *Client) Roster(ctx context.Context) ([]api.Member, error) {
	return call[[]api.Member](ctx, c, request{method: http.MethodGet, path: "/v1/roster"})
}

func operationQuery(operation string) url.Values {
	if operation == "" {
		operation = NewOperation()
	}
	return url.Values{"operation-id": {operation}}
}

// request is a call that may be retried: every change carries an operation id
// or is idempotent.
type request struct {
	method, path string
	query        url.Values
	body         any
	wait         time.Duration
}

// call sends the request to the managers in turn, with exponential backoff,
// until one responds conclusively.
func call[T any](ctx context.Context, c *Client, r request) (T, error) {
	var response T
	if len(c.config.Managers) == 0 {
		return response, errors.Wrap(ErrUnavailable, "no manager is configured")
	}
	body, err := json.Marshal(r.body)
	if err != nil {
		return response, err
	}
	backoff := minBackoff
	for attempt := range c.config.Attempts {
		manager := c.config.Managers[attempt%len(c.config.Managers)]
		err = c.send(ctx, manager, r, body, &response)
		if err == nil || !isRetryable(err) {
			return response, err
		}
		if attempt == c.config.Attempts-1 || !sleep(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return response, err
}

// isRetryable reports whether the call may succeed at another manager or later.
func isRetryable(err error) bool {
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem.Status == http.StatusServiceUnavailable
	}
	return errors.Is(err, ErrUnavailable)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (c *Client) send(ctx context.Context, manager netip.AddrPort, r request, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+r.wait)
	defer cancel()
	scheme := "http"
	if c.config.TLS != nil {
		scheme = "https"
	}
	target := scheme + "://" + manager.String() + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	httpRequest.Header.Set("Authorization", "Bearer "+c.config.Key)
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return errors.Mark(fmt.Errorf("manager %s: %w", manager, err), ErrUnavailable)
	}
	defer response.Body.Close()
	content, err := bounded.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return errors.Mark(fmt.Errorf("read response of manager %s: %w", manager, err), ErrUnavailable)
	}
	return decode(manager, response, content, result)
}

func decode(manager netip.AddrPort, response *http.Response, content []byte, result any) error {
	if response.StatusCode < http.StatusMultipleChoices {
		if err := json.Unmarshal(content, result); err != nil {
			return fmt.Errorf("response of manager %s is malformed: %w", manager, err)
		}
		return nil
	}
	problem := &api.Problem{}
	if err := json.Unmarshal(content, problem); err != nil || problem.Title == "" {
		problem = &api.Problem{Title: fmt.Sprintf("manager %s answered %s", manager, response.Status), Outcome: api.OutcomeUnknown}
	}
	problem.Status = response.StatusCode
	return problem
}
