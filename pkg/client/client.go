// Package client talks to the operators' API of lovagedyke's managers.
//
// # Usage
//
//	c := client.New(client.Config{Managers: managers, Key: key})
//	answer, err := c.Apply(ctx, api.ApplyRequest{Catalogue: desired, Expected: &seen})
//
// A call that gets no answer is repeated at the next manager, a change under
// the same operation id, so that it takes effect once. Errors are *api.Problem
// when a manager refused, and wrap ErrUnavailable when none answered.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/keyring"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const (
	defaultAttempts = 6
	attemptTimeout  = 15 * time.Second
	shortestBackoff = 50 * time.Millisecond
	longestBackoff  = 2 * time.Second
	// maxAnswer bounds an answer, in bytes.
	maxAnswer = 64 << 20
)

// ErrUnavailable means that no manager answered. A change may have been
// accepted; repeating it with the same operation id tells.
var ErrUnavailable = errors.New("no manager answered")

// Config configures a client.
type Config struct {
	// Managers are tried in order.
	Managers []netip.AddrPort
	// Key is the operator key.
	Key string
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Attempts bounds how often a call is sent; 0 means 6.
	Attempts int
}

// Client calls managers. It may be used from any goroutine.
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

// NewOperation returns an id for a change that may have to be repeated.
func NewOperation() string {
	return rand.Text()
}

// Catalogue returns the catalogue with its revision.
func (c *Client) Catalogue(ctx context.Context) (api.CatalogueResponse, error) {
	return call[api.CatalogueResponse](ctx, c, request{method: http.MethodGet, path: "/v1/catalogue"})
}

// Apply declares the whole catalogue.
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

// GiveKey makes a key for a team and registers it. The key is returned here
// only; the managers know its hash.
func (c *Client) IssueKey(ctx context.Context, team string) (key string, answer api.ChangeResponse, err error) {
	secret, kept, err := keyring.New(rand.Reader, team)
	if err != nil {
		return "", answer, err
	}
	in := api.IssueKeyRequest{ID: kept.ID, Team: team, Hash: kept.Hash, Operation: NewOperation()}
	answer, err = call[api.ChangeResponse](ctx, c, request{method: http.MethodPost, path: "/v1/keys", body: in})
	if err != nil {
		return "", answer, err
	}
	return secret.Reveal(), answer, nil
}

// WithdrawKey withdraws a key. The operation id may be empty.
func (c *Client) WithdrawKey(ctx context.Context, id, operation string) (api.ChangeResponse, error) {
	return call[api.ChangeResponse](ctx, c, request{method: http.MethodDelete, path: "/v1/keys/" + url.PathEscape(id), query: operationQuery(operation)})
}

// Keys lists the keys, without secrets.
func (c *Client) Keys(ctx context.Context) ([]api.Key, error) {
	return call[[]api.Key](ctx, c, request{method: http.MethodGet, path: "/v1/keys"})
}

// Revision tells where a revision is in force, after waiting for it at most
// that long.
func (c *Client) Revision(ctx context.Context, revision uint64, wait time.Duration) (api.RevisionResponse, error) {
	query := url.Values{"revision": {strconv.FormatUint(revision, 10)}, "wait": {wait.String()}}
	return call[api.RevisionResponse](ctx, c, request{method: http.MethodGet, path: "/v1/revision", query: query, wait: wait})
}

// Charge returns a charge with its run.
func (c *Client) Charge(ctx context.Context, id string) (api.Charge, error) {
	return call[api.Charge](ctx, c, request{method: http.MethodGet, path: "/v1/charges/" + url.PathEscape(id)})
}

// Unproven lists the runs that cannot be proved and are not charged.
func (c *Client) Unproven(ctx context.Context) ([]api.Run, error) {
	return call[[]api.Run](ctx, c, request{method: http.MethodGet, path: "/v1/unproven"})
}

// Waves lists the maintenance waves.
func (c *Client) Waves(ctx context.Context) ([]api.Wave, error) {
	return call[[]api.Wave](ctx, c, request{method: http.MethodGet, path: "/v1/waves"})
}

// StartWave starts a wave over a pool; one that has not finished goes on.
func (c *Client) StartWave(ctx context.Context, in api.WaveRequest) (api.Wave, error) {
	return call[api.Wave](ctx, c, request{method: http.MethodPost, path: "/v1/waves", body: in})
}

// ResumeWave has a stopped wave go on.
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

// DrainHost has a host take no new work; a repeat changes nothing.
func (c *Client) DrainHost(ctx context.Context, name string, in api.DrainRequest) (api.Host, error) {
	return call[api.Host](ctx, c, request{method: http.MethodPost, path: "/v1/hosts/" + url.PathEscape(name) + "/drain", body: in})
}

// ReturnHost has a host serve its pool again; a repeat changes nothing.
func (c *Client) ReturnHost(ctx context.Context, name string) (api.Host, error) {
	return call[api.Host](ctx, c, request{method: http.MethodPost, path: "/v1/hosts/" + url.PathEscape(name) + "/return"})
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

// request is a call that may be repeated: each changing one bears an
// operation id.
type request struct {
	method, path string
	query        url.Values
	body         any
	wait         time.Duration
}

// call sends the request to the managers in turn until one gives an answer
// that holds.
func call[T any](ctx context.Context, c *Client, r request) (T, error) {
	var answer T
	if len(c.config.Managers) == 0 {
		return answer, errors.Wrap(ErrUnavailable, "no manager is configured")
	}
	body, err := json.Marshal(r.body)
	if err != nil {
		return answer, err
	}
	backoff := shortestBackoff
	for attempt := range c.config.Attempts {
		manager := c.config.Managers[attempt%len(c.config.Managers)]
		err = c.send(ctx, manager, r, body, &answer)
		if err == nil || !mayPass(err) {
			return answer, err
		}
		if attempt == c.config.Attempts-1 || !sleep(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, longestBackoff)
	}
	return answer, err
}

// mayPass reports whether another manager or a later try may do better.
func mayPass(err error) bool {
	var refused *api.Problem
	if errors.As(err, &refused) {
		return refused.Status == http.StatusServiceUnavailable
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

func (c *Client) send(ctx context.Context, manager netip.AddrPort, r request, body []byte, into any) error {
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
	out, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	out.Header.Set("Authorization", "Bearer "+c.config.Key)
	out.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(out)
	if err != nil {
		return errors.Mark(fmt.Errorf("manager %s: %w", manager, err), ErrUnavailable)
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return errors.Mark(fmt.Errorf("answer of manager %s: %w", manager, err), ErrUnavailable)
	}
	return decode(manager, answer, content, into)
}

func decode(manager netip.AddrPort, answer *http.Response, content []byte, into any) error {
	if answer.StatusCode < http.StatusMultipleChoices {
		if err := json.Unmarshal(content, into); err != nil {
			return fmt.Errorf("answer of manager %s is malformed: %w", manager, err)
		}
		return nil
	}
	problem := &api.Problem{}
	if err := json.Unmarshal(content, problem); err != nil || problem.Title == "" {
		problem = &api.Problem{Title: fmt.Sprintf("manager %s answered %s", manager, answer.Status), Outcome: api.OutcomeUnknown}
	}
	problem.Status = answer.StatusCode
	return problem
}
