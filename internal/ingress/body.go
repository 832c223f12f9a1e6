package ingress

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/intake"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// largeDecodeBytes is the size, and largeDecodeValues the number of values, from which
	// bodies are decoded one at a time.
	largeDecodeBytes, largeDecodeValues = 64 << 10, 4 << 10
	// decodedValueBytes is what a value of a large body takes once it is decoded.
	decodedValueBytes = 16
)

// bodyRefusals are the texts of refusals of bodies for callers.
var bodyRefusals = map[intake.Cause]string{
	intake.RefusedFull:    "this process holds as many requests as it has memory for; the job was not accepted",
	intake.RefusedStalled: "the body made no progress while others waited; the job was not accepted",
	intake.RefusedLate:    "the body did not arrive in the caller's time; the job was not accepted",
}

// refuseBody returns the response to a request whose body was not read to its end.
func (i *Ingress) refuseBody(refused *intake.Refusal) reply {
	if refused.Cause == intake.RefusedOversized {
		return i.refuse(http.StatusRequestEntityTooLarge, "the body is larger than this process has memory for; the job was not accepted", 0)
	}
	if text, ok := bodyRefusals[refused.Cause]; ok {
		return i.refuse(http.StatusServiceUnavailable, text, refused.RetryAfter)
	}
	return i.refuse(http.StatusBadRequest, "the body is too large or broke off", 0)
}

// decode decodes a body. It returns nil and the response if it cannot.
func (i *Ingress) decode(ctx context.Context, body intake.Body) (*job.Submission, reply) {
	values := bytes.Count(body.Bytes, []byte(","))
	if len(body.Bytes) > largeDecodeBytes || values > largeDecodeValues {
		select {
		case i.decoding <- struct{}{}:
			defer func() { <-i.decoding }()
		case <-ctx.Done():
			return nil, i.refuseBody(&intake.Refusal{Cause: intake.RefusedFull, RetryAfter: retryAfter})
		}
		if refused := body.Share.Grow(time.Now(), int64(values)*decodedValueBytes); refused != nil {
			return nil, i.refuseBody(&intake.Refusal{Cause: intake.RefusedFull, RetryAfter: refused.RetryAfter})
		}
	}
	submission, err := i.config.Codec.Submission(body.Bytes)
	if err != nil {
		return nil, i.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	return submission, reply{}
}
