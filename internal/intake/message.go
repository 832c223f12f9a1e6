package intake

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// MessagesConfig configures a handler of messages.
type MessagesConfig struct {
	Bodies *Bodies
	// MaxBytes bounds a message and Timeout the time in which it has to arrive.
	MaxBytes int64
	Timeout  time.Duration
	// ContentType is the only type that messages may have, or "" if any will do.
	ContentType string
	// Check, if set, returns an error for a message that would take too much when it is decoded.
	Check func(message []byte) error
}

// Messages returns a handler that reads each message within a budget before it passes it on.
func Messages(next http.Handler, config MessagesConfig) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if config.ContentType != "" && r.Header.Get("Content-Type") != config.ContentType {
			Linger(w)
			http.Error(w, "the message is not of type "+config.ContentType, http.StatusUnsupportedMediaType)
			return
		}
		body, refused := config.Bodies.Read(w, r, config.MaxBytes, time.Now().Add(config.Timeout))
		if refused != nil {
			refuseMessage(w, refused)
			return
		}
		defer body.Share.Release()
		if config.Check != nil {
			if err := config.Check(body.Bytes); err != nil {
				http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
				return
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(body.Bytes))
		next.ServeHTTP(w, r)
	})
}

// refuseMessage answers a message that was not read to its end.
func refuseMessage(w http.ResponseWriter, refused *Refusal) {
	switch refused.Cause {
	case RefusedTooLarge, RefusedOversized:
		http.Error(w, "the message is too large", http.StatusRequestEntityTooLarge)
	case RefusedBroken:
		http.Error(w, "the message broke off", http.StatusBadRequest)
	default:
		w.Header().Set("Retry-After", strconv.Itoa(int(max(time.Second, refused.RetryAfter.Round(time.Second))/time.Second)))
		http.Error(w, "no room for the message: "+string(refused.Cause), http.StatusServiceUnavailable)
	}
}

// NoBodies returns a handler that refuses requests with bodies.
func NoBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			Linger(w)
			http.Error(w, "the request has a body", http.StatusRequestEntityTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}
