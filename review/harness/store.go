//go:build review

package harness

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as its page and the settings file give them.
const (
	// RowBytes is the largest value of a row.
	RowBytes = 65536
	// storeDelay is the time that the store takes for a call.
	storeDelay     = 4 * time.Millisecond
	maxPageRows    = 500
	maxTxnEntries  = 100
	maxTxnBytes    = 1 << 20
	feedPoll       = 5 * time.Millisecond
	maxFeedWait    = 30 * time.Second
	maxStoredNames = 200
)

type rowKey struct{ table, part, key string }

// row is a row on the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	started time.Time
	version uint64
	rows    map[rowKey]row
	history []row
	// refusedBytes counts the transactions that were rejected for the size of a row or of the call,
	// and largest is the largest value in one of them.
	refusedBytes, largest int
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowKey]row{}}
}

func (s *store) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /lovagedyke/rows-tx", s.transact)
	mux.HandleFunc("GET /lovagedyke/rows-get", s.get)
	mux.HandleFunc("GET /lovagedyke/rows-feed", s.feed)
	mux.HandleFunc("GET /lovagedyke/rows-parts", s.parts)
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: data, Ver: s.version})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowKey{table, "", key}]; !ok {
		return
	}
	s.version++
	s.apply(row{Table: table, Key: key, Ver: s.version, Tombstone: true})
}

// read returns a row's value, or nil.
func (s *store) read(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}

func (s *store) apply(changed row) {
	if changed.Tombstone {
		delete(s.rows, changed.id())
	} else {
		s.rows[changed.id()] = changed
	}
	s.history = append(s.history, changed)
}

func (s *store) answer(rows []row, hasMore bool) map[string]any {
	if rows == nil {
		rows = []row{}
	}
	return map[string]any{"rows": rows, "has_more": hasMore, "ver": s.version, "now_ms": time.Since(s.started).Milliseconds()}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var txn struct {
		Expected []row `json:"expected_rev"`
		Set      []row `json:"set_keys"`
		Remove   []row `json:"remove"`
	}
	body := http.MaxBytesReader(w, r.Body, 4*maxTxnBytes)
	if err := json.NewDecoder(body).Decode(&txn); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"reason": "not a transaction"})
		return
	}
	all := slices.Concat(txn.Expected, txn.Set, txn.Remove)
	s.mu.Lock()
	defer s.mu.Unlock()
	if status, reason := s.check(all, r.ContentLength); status != 0 {
		writeJSON(w, status, map[string]any{"reason": reason})
		return
	}
	var current []row
	holds := true
	for _, condition := range txn.Expected {
		found, ok := s.rows[condition.id()]
		holds = holds && found.Ver == condition.Ver
		if ok {
			current = append(current, found)
		}
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, s.answer(current, false))
		return
	}
	s.version++
	for _, written := range txn.Set {
		written.Ver, written.Tombstone = s.version, false
		s.apply(written)
	}
	for _, removed := range txn.Remove {
		if _, ok := s.rows[removed.id()]; ok {
			s.apply(row{Table: removed.Table, Part: removed.Part, Key: removed.Key, Ver: s.version, Tombstone: true})
		}
	}
	writeJSON(w, http.StatusOK, s.answer(nil, false))
}

// check returns the status with which a transaction is rejected, or 0.
func (s *store) check(entries []row, size int64) (status int, reason string) {
	if len(entries) > maxTxnEntries || size > maxTxnBytes {
		s.refusedBytes++
		return http.StatusBadRequest, "too many entries or bytes"
	}
	for _, entry := range entries {
		switch {
		case entry.Part != entries[0].Part:
			return http.StatusBadRequest, "entries of several parts"
		case len(entry.Value) > RowBytes:
			s.refusedBytes++
			s.largest = max(s.largest, len(entry.Value))
			return http.StatusBadRequest, "a value is larger than row_bytes"
		case max(len(entry.Table), len(entry.Part), len(entry.Key)) > maxStoredNames:
			return http.StatusBadRequest, "a name is too long"
		case len(entry.Value) > 0 && (entry.Table == "op" || entry.Table == "servers"):
			return http.StatusForbidden, "not the system's table"
		}
	}
	return 0, ""
}

// refused returns how many transactions were rejected for their size, and the largest value.
func (s *store) refused() (count, largest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedBytes, s.largest
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for key, value := range s.rows {
		isMatch := key.table == query.Get("table") && key.part == query.Get("part") && key.key >= query.Get("from")
		if isMatch && (query.Get("target") == "" || key.key < query.Get("target")) {
			found = append(found, value)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	hasMore := false
	size := 0
	for i, value := range found {
		size += len(value.Value)
		if i >= limit || i > 0 && size > maxTxnBytes {
			found, hasMore = found[:i], true
			break
		}
	}
	writeJSON(w, http.StatusOK, s.answer(found, hasMore))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(min(maxFeedWait, time.Duration(waitMS)*time.Millisecond))
	for {
		changed, answer := s.changes(query.Get("table"), after)
		if len(changed) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		time.Sleep(feedPoll)
	}
}

func (s *store) changes(table string, after uint64) ([]row, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(r row, ver uint64) int {
		switch {
		case r.Ver < ver:
			return -1
		case r.Ver > ver:
			return 1
		default:
			return 0
		}
	})
	var changed []row
	for _, entry := range s.history[first:] {
		if entry.Table == table {
			changed = append(changed, entry)
		}
	}
	return changed, s.answer(changed, false)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for key := range s.rows {
		if key.table == query.Get("table") && key.part > query.Get("after") && !slices.Contains(parts, key.part) {
			parts = append(parts, key.part)
		}
	}
	slices.Sort(parts)
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts, "has_more": false, "ver": s.version})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have left.
	_ = json.NewEncoder(w).Encode(body)
}
