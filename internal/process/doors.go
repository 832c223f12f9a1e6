package process

import (
	"context"
	"net/http"
	"net/netip"
	"runtime/debug"
	"runtime/metrics"
	"time"

	vmmetrics "github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/lovagedyke/lovagedyke/internal/budget"
	"github.com/lovagedyke/lovagedyke/internal/courier/courierpb"
	"github.com/lovagedyke/lovagedyke/internal/intake"
	"github.com/lovagedyke/lovagedyke/internal/member"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/operations"
	"github.com/lovagedyke/lovagedyke/platform"
)

const (
	// callersPort names the port of callers.
	callersPort = "callers"
	// maxPeerMessage bounds a message of another process, and maxPeerFields the number of its
	// fields, each of which may take far more memory than its bytes.
	maxPeerMessage, maxPeerFields = 4 << 20, 16 << 10
	// peerMessageTimeout bounds the arrival of a message.
	peerMessageTimeout = 3 * time.Second
	// peerLargeShare is the part of the budget for peers' messages that large ones may have.
	peerLargeShare = 0.75
	// budgetInterval is the time between two adjustments of callers' budget.
	budgetInterval = time.Second
)

// doors holds what bounds the clients of a node.
type doors struct {
	plan budget.Plan
	// requests is for what callers' requests hold, and messages for messages of peers.
	requests, messages *budget.Budget
	// heapLimit is the soft limit of the heap.
	heapLimit int64
	// callers is the port of callers; it is set before the loops run.
	callers *intake.Door
}

// newDoors divides the memory and descriptors of a process.
func newDoors(settings platform.Settings) *doors {
	memory := settings.MemoryMiB << 20
	plan := budget.NewPlan(budget.Machine{Bytes: memory, Descriptors: settings.MaxDescriptors})
	d := &doors{
		plan:      plan,
		requests:  budget.New(budget.Config{Bytes: plan.RequestBytes}),
		messages:  budget.New(budget.Config{Bytes: plan.PeerBytes, LargeShare: peerLargeShare}),
		heapLimit: debug.SetMemoryLimit(-1),
	}
	measureBudget(callersPort, d.requests)
	measureBudget("peers", d.messages)
	return d
}

// measureBudget exports what a budget holds.
func measureBudget(port string, b *budget.Budget) {
	labels := `{port="` + port + `"}`
	vmmetrics.GetOrCreateGauge("client_budget_bytes"+labels, func() float64 { return float64(b.Usage().Bytes) })
	vmmetrics.GetOrCreateGauge("client_bytes_held"+labels, func() float64 { return float64(b.Usage().Held) })
	vmmetrics.GetOrCreateGauge("client_bytes_held_large"+labels, func() float64 { return float64(b.Usage().HeldLarge) })
	vmmetrics.GetOrCreateGauge("client_claims_refused"+labels, func() float64 { return float64(b.Usage().Refused) })
	vmmetrics.GetOrCreateGauge("client_claims_given_way"+labels, func() float64 { return float64(b.Usage().Evicted) })
}

// door is a port of a node.
type door struct {
	config  intake.DoorConfig
	handler http.Handler
}

// doorsOf returns the ports of a node.
func (n *nodeProcess) doorsOf() []door {
	readiness := httprouter.New()
	readiness.GET(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if err := n.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	service := member.NewService(member.ServiceConfig{Node: n.member, Fleet: n.control, Policy: n.holder, OnPolicyHint: n.queueHint})
	peers := http.NewServeMux()
	peers.Handle(memberpb.MemberPathPrefix, memberpb.NewMemberServer(service))
	peers.Handle(courierpb.CourierPathPrefix, courierpb.NewCourierServer(n.carrier))
	plan := n.doors.plan
	return []door{
		{
			intake.DoorConfig{
				Name: callersPort, Address: n.settings.Callers, MaxConnections: plan.CallerConnections, Headers: n.doors.requests,
				ReceiveBytes: intake.DefaultReceiveBytes, SendBytes: intake.DefaultSendBytes, Refuses: true,
			},
			n.ingress,
		},
		{n.operationsDoor("ready", n.settings.Ready), intake.NoBodies(readiness)},
		{
			intake.DoorConfig{Name: "peers", Address: n.settings.Peers, MaxConnections: plan.PeerConnections, Headers: n.doors.messages, Refuses: true},
			intake.Messages(peers, intake.MessagesConfig{
				Bodies: intake.NewBodies(intake.BodiesConfig{Budget: n.doors.messages}), MaxBytes: maxPeerMessage,
				Timeout: peerMessageTimeout, ContentType: "application/protobuf", Check: checkPeerMessage,
			}),
		},
		{n.operationsDoor("metrics", n.config.Metrics), intake.NoBodies(operations.New(operations.Config{Ready: n.ready, Dump: n.dump}))},
	}
}

// operationsDoor returns the configuration of a port with few, small requests.
func (n *nodeProcess) operationsDoor(name string, address netip.AddrPort) intake.DoorConfig {
	return intake.DoorConfig{
		Name: name, Address: address, MaxConnections: n.doors.plan.OperationsConnections, Headers: n.doors.messages,
		ReceiveBytes: intake.DefaultReceiveBytes, Refuses: true,
	}
}

// checkPeerMessage returns an error for a message of too many fields.
func checkPeerMessage(message []byte) error {
	for count := 0; len(message) > 0; count++ {
		if count == maxPeerFields {
			return errors.Newf("the message has more than %d fields", maxPeerFields)
		}
		_, _, size := protowire.ConsumeField(message)
		if size < 0 {
			return protowire.ParseError(size)
		}
		message = message[size:]
	}
	return nil
}

// budgetLoop adjusts callers' budget to what the process itself needs, and logs what it has
// held back, until ctx ends.
func (n *nodeProcess) budgetLoop(ctx context.Context) {
	ticker := time.NewTicker(budgetInterval)
	defer ticker.Stop()
	var logged budget.Usage
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		usage := n.doors.requests.Usage()
		own := liveHeap() - usage.Held - int64(n.doors.callers.Connections())*budget.PeerConnectionBytes
		bytes, connections := n.doors.plan.Within(n.doors.heapLimit - max(0, own))
		n.doors.requests.Resize(bytes)
		n.doors.callers.SetMaxConnections(connections)
		if usage.Refused != logged.Refused || usage.Evicted != logged.Evicted {
			n.journal.Info("clients held back", "budget", usage.Bytes, "held", usage.Held, "held-large", usage.HeldLarge,
				"refused", usage.Refused-logged.Refused, "gave-way", usage.Evicted-logged.Evicted)
		}
		logged = usage
	}
}

// liveHeap returns the size of the heap that the last collection found in use.
func liveHeap() int64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}
