package entry

import (
	"context"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// claimTick is the interval of a holder's timers.
	claimTick = 25 * time.Millisecond
	// claimInterval and finishInterval bound the transactions of one entry:
	// seven entries write at most 280 a second.
	claimInterval  = 25 * time.Millisecond
	finishInterval = 250 * time.Millisecond
	// claimProbeInterval is the time between acknowledgements of a roster, and
	// so how long claims on moved ids wait.
	claimProbeInterval = 100 * time.Millisecond
	// claimCallTimeout bounds one call to the table or a peer about claims.
	claimCallTimeout = 2 * time.Second
	// releasePatience bounds the attempts to give a claim back.
	releasePatience = 10 * time.Second
	// claimRetries bounds how often a moved claim is asked for again.
	claimRetries = 5
	// claimRetryPause lets a roster change spread before asking again.
	claimRetryPause = 20 * time.Millisecond
	// claimQueue bounds the events that wait for the holder.
	claimQueue = 4096
)

// errClaimsStopped ends calls on claims when the process stops.
var errClaimsStopped = errors.New("claims have stopped")

// peerNode is what claims and charges need of the node.
type peerNode interface {
	Self() roster.Member
	Store() table.Store
	Roster() (roster.Roster, uint64)
	Dial(member roster.Member) peerpb.Peer
	PollNow()
}

// claims drives a claim.Holder: one goroutine owns it, and each table or peer
// call that the holder asks for runs in a goroutine of its own.
type claims struct {
	*owner[claim.Effect]
	node     peerNode
	holder   *claim.Replica
	sequence atomic.Uint64
	// background runs what need not hold up a caller.
	background func(func(ctx context.Context))

	// Owned by the loop.
	claimants map[claim.Token]chan claim.Answer
	confirms  map[claim.Token]chan claim.Confirm
}

// newClaims returns claims that answer once run is called.
func newClaims(node peerNode, retention time.Duration) *claims {
	return &claims{
		owner: newOwner[claim.Effect](claimQueue),
		node:  node,
		holder: claim.New(claim.Config{
			Self: node.Self().Identity, Retention: retention, ProbeInterval: claimProbeInterval,
			ClaimInterval: claimInterval, FinishInterval: finishInterval,
		}),
		claimants: make(map[claim.Token]chan claim.Answer),
		confirms:  make(map[claim.Token]chan claim.Confirm),
	}
}

// run owns the holder until the context ends.
func (c *claims) run(ctx context.Context) {
	c.owner.run(ctx, claimTick, c.holder.Tick, c.carryOut)
}

// carryOut does what the holder asks for.
func (c *claims) carryOut(ctx context.Context, effect claim.Effect) {
	switch effect := effect.(type) {
	case claim.Commit:
		c.callTable(ctx, effect.Call, func(ctx context.Context) ([]table.Row, error) {
			return nil, c.node.Store().Commit(ctx, effect.Txn)
		})
	case claim.Get:
		c.callTable(ctx, effect.Call, func(ctx context.Context) ([]table.Row, error) {
			return c.node.Store().Get(ctx, effect.Keys...)
		})
	case claim.Scan:
		c.callTable(ctx, effect.Call, func(ctx context.Context) ([]table.Row, error) {
			return c.node.Store().Scan(ctx, effect.Prefix)
		})
	case claim.AskSecondary:
		c.calls.Go(func() { c.askSecond(ctx, effect) })
	case claim.Confirm:
		if waiter, ok := c.confirms[effect.Record.Token]; ok {
			waiter <- effect
			delete(c.confirms, effect.Record.Token)
		}
	case claim.Answer:
		if waiter, ok := c.claimants[effect.Token]; ok {
			waiter <- effect
			delete(c.claimants, effect.Token)
		}
	case claim.StaleRoster:
		c.node.PollNow()
	}
}

// callTable runs a table call and feeds its answer back.
func (c *claims) callTable(ctx context.Context, call uint64, do func(context.Context) ([]table.Row, error)) {
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
		defer cancel()
		rows, err := do(ctx)
		c.post(func(now time.Time) []claim.Effect {
			return c.holder.HandleTableResult(now, claim.TableResult{Call: call, Rows: rows, Err: err})
		})
	})
}

// askSecond has a peer record a claim and feeds its confirmation back.
func (c *claims) askSecond(ctx context.Context, ask claim.AskSecondary) {
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	record, err := peer.RecordMessage(ask.Record)
	if err != nil {
		return
	}
	reply, err := c.node.Dial(ask.To).Mirror(ctx, &peerpb.MirrorRequest{
		From: peer.IdentityMessage(ask.From), RosterVersion: ask.Version, Record: record,
	})
	if err != nil {
		return
	}
	confirmed, err := peer.Record(reply.GetRecord())
	if err != nil {
		return
	}
	c.post(func(now time.Time) []claim.Effect {
		return c.holder.HandleConfirm(now, claim.Confirm{
			To: ask.From, From: ask.To.Identity, Version: reply.GetRosterVersion(),
			Record: confirmed, Recorded: reply.GetRecorded(),
		})
	})
}

// rosterChanged hands a roster to the holder.
func (c *claims) rosterChanged(members roster.Roster, rowVersion uint64) {
	c.post(func(now time.Time) []claim.Effect {
		return c.holder.ApplyRoster(now, members, rowVersion)
	})
}

// newToken names a new attempt of this process at the home.
func (c *claims) newToken(home roster.Identity) claim.Token {
	return claim.Token{Claimant: c.node.Self().Identity, Primary: home, Sequence: c.sequence.Add(1)}
}

// claim asks the id's home for the right to dispatch, and again, under another
// token, where the home has moved. An error means that no answer came: the
// claim of the answer's token must be released.
func (c *claims) claim(ctx context.Context, request claim.Request) (claim.Answer, error) {
	var answer claim.Answer
	for range claimRetries {
		members, _ := c.node.Roster()
		home, _ := members.Pair(claim.BucketKey(request.ID.Bucket()))
		if home.Name == "" {
			return claim.Answer{Outcome: claim.OutcomeMoved}, nil
		}
		request.Version = members.Version
		request.Token = c.newToken(home.Identity)
		var err error
		answer, err = c.askHome(ctx, home, request)
		if err != nil || answer.Outcome != claim.OutcomeMoved {
			return answer, err
		}
		// The former home may have begun to record the claim.
		former := request.Token
		c.background(func(ctx context.Context) { c.release(ctx, request.ID, former) })
		c.node.PollNow()
		select {
		case <-ctx.Done():
			return answer, ctx.Err()
		case <-time.After(claimRetryPause):
		}
	}
	return answer, nil
}

// askHome asks this process or a peer.
func (c *claims) askHome(ctx context.Context, home roster.Member, request claim.Request) (claim.Answer, error) {
	unanswered := claim.Answer{Token: request.Token}
	if home.Identity == c.node.Self().Identity {
		return c.decide(ctx, request)
	}
	reply, err := c.node.Dial(home).Claim(ctx, peer.ClaimMessage(request))
	if err != nil {
		return unanswered, errors.Wrapf(err, "ask %s for a claim", home.Name)
	}
	return peer.Answer(request.Token, reply)
}

// decide has this process's holder answer as the home.
func (c *claims) decide(ctx context.Context, request claim.Request) (claim.Answer, error) {
	waiter := make(chan claim.Answer, 1)
	posted := c.post(func(now time.Time) []claim.Effect {
		c.claimants[request.Token] = waiter
		return c.holder.Request(now, request)
	})
	unanswered := claim.Answer{Token: request.Token}
	if !posted {
		return unanswered, errClaimsStopped
	}
	select {
	case answer := <-waiter:
		return answer, nil
	case <-ctx.Done():
		c.post(func(time.Time) []claim.Effect {
			delete(c.claimants, request.Token)
			return nil
		})
		return unanswered, ctx.Err()
	case <-c.stopped:
		return unanswered, errClaimsStopped
	}
}

// mirror has this process's holder record a claim as the second.
func (c *claims) mirror(ctx context.Context, ask claim.AskSecondary) (claim.Confirm, error) {
	waiter := make(chan claim.Confirm, 1)
	posted := c.post(func(now time.Time) []claim.Effect {
		c.confirms[ask.Record.Token] = waiter
		return c.holder.Mirror(now, ask)
	})
	if !posted {
		return claim.Confirm{}, errClaimsStopped
	}
	select {
	case confirm := <-waiter:
		return confirm, nil
	case <-ctx.Done():
		c.post(func(time.Time) []claim.Effect {
			delete(c.confirms, ask.Record.Token)
			return nil
		})
		return claim.Confirm{}, ctx.Err()
	case <-c.stopped:
		return claim.Confirm{}, errClaimsStopped
	}
}

// finish tells the home how a granted attempt ended. Without the home the
// record stands as claimed until its run limit, and reads as unknown after.
func (c *claims) finish(ctx context.Context, record claim.Record, state claim.State, result *claim.Result) {
	home, ok := c.home(record.ID)
	if !ok {
		return
	}
	if home.Identity == c.node.Self().Identity {
		c.finishHere(record, state, result)
		return
	}
	encoded, err := peer.RecordMessage(record)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	_, _ = c.node.Dial(home).Finish(ctx, &peerpb.FinishRequest{
		Record: encoded, State: string(state), Result: peer.ResultMessage(result),
	})
}

// finishHere records an end at this process's holder and waits until it did.
func (c *claims) finishHere(record claim.Record, state claim.State, result *claim.Result) bool {
	recorded, _ := query(c.owner, func(now time.Time) (bool, []claim.Effect) {
		return c.holder.Finish(now, record, state, result)
	})
	return recorded
}

// release tells the home that the attempt will never be dispatched, and again
// until the home has taken it. A home that cannot be reached for long keeps the
// claim, which reads as unknown once its run limit is over.
func (c *claims) release(ctx context.Context, id claim.ID, token claim.Token) {
	ctx, cancel := context.WithTimeout(ctx, releasePatience)
	defer cancel()
	for ctx.Err() == nil {
		home, ok := c.home(id)
		if ok && c.releaseAt(ctx, home, id, token) {
			return
		}
		select {
		case <-ctx.Done():
		case <-c.stopped:
			return
		case <-time.After(claimCallTimeout / 4):
		}
	}
}

// releaseAt makes one attempt to tell the home.
func (c *claims) releaseAt(ctx context.Context, home roster.Member, id claim.ID, token claim.Token) bool {
	if home.Identity == c.node.Self().Identity {
		return c.releaseHere(id, token)
	}
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	reply, err := c.node.Dial(home).Release(ctx, &peerpb.ReleaseRequest{
		Id: peer.ClaimIDMessage(id), Token: peer.TokenMessage(token),
	})
	return err == nil && reply.GetTaken()
}

// releaseHere records a release at this process's holder.
func (c *claims) releaseHere(id claim.ID, token claim.Token) bool {
	return c.post(func(now time.Time) []claim.Effect {
		return c.holder.Release(now, id, token)
	})
}

// home returns the id's home at the newest roster.
func (c *claims) home(id claim.ID) (roster.Member, bool) {
	members, _ := c.node.Roster()
	home, _ := members.Pair(claim.BucketKey(id.Bucket()))
	return home, home.Name != ""
}

// snapshot returns the holder's state for the dump.
func (c *claims) snapshot() claim.Snapshot {
	snapshot, _ := query(c.owner, func(time.Time) (claim.Snapshot, []claim.Effect) { return c.holder.Snapshot(), nil })
	return snapshot
}

// claimID is the identity of a marked call.
func claimID(c *call) claim.ID {
	return claim.ID{Team: c.team, Service: c.entry.Name, Key: c.key}
}

// claimRequest is the request for a marked call's only attempt.
func claimRequest(c *call) claim.Request {
	return claim.Request{
		ID: claimID(c), Digest: hex.EncodeToString(c.digest[:]), RunLimit: c.entry.LongestRun,
	}
}
