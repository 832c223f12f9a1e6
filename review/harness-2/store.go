//go:build review

package harness

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// maxPageRows is the number of rows in one answer of the store.
	maxPageRows = 500
	// feedPoll is the time between two looks of a waiting feed.
	feedPoll = 4 * time.Millisecond
	// txnTime is how long a transaction takes.
	txnTime = 5 * time.Millisecond
)

// Row is a row on the wire.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r Row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Txn is a transaction on the wire.
type Txn struct {
	Conditions []Row `json:"expected_rev"`
	Writes     []Row `json:"set_keys"`
	Removals   []Row `json:"remove"`
}

type rowsAnswer struct {
	Rows    []Row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Ver     uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

// Store is the platform's metadata store.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]Row
	history []Row
	version uint64
	started time.Time
	// Down makes the store answer 503 while it is true.
	down bool
	// onCommit, if set, is called for each transaction that was applied, before its answer.
	onCommit func(remote string, txn Txn)
}

func newStore() *Store {
	return &Store{rows: map[rowKey]Row{}, started: time.Now()}
}

// SetDown makes the store refuse all calls, or serve them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Put writes a row as the operator or an endpoint does.
func (s *Store) Put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(Row{Table: table, Key: key, Value: encoded, Ver: s.version})
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(Row{Table: table, Key: key, Ver: s.version, Tombstone: true})
}

// Value returns a row's value, or nil.
func (s *Store) Value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}

func (s *Store) apply(row Row) {
	if row.Tombstone {
		delete(s.rows, row.id())
	} else {
		s.rows[row.id()] = row
	}
	s.history = append(s.history, row)
}

func (s *Store) register(mux *http.ServeMux) {
	guarded := func(handle http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if s.isDown() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			handle(w, r)
		}
	}
	mux.HandleFunc("POST /lovagedyke/rows-tx", guarded(s.commit))
	mux.HandleFunc("GET /lovagedyke/rows-get", guarded(s.get))
	mux.HandleFunc("GET /lovagedyke/rows-feed", guarded(s.feed))
}

func (s *Store) answer(rows []Row) rowsAnswer {
	return rowsAnswer{Rows: rows, Ver: s.version, NowMS: time.Since(s.started).Milliseconds()}
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var txn Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txnTime)
	status, body := s.tryCommit(txn)
	if status == http.StatusOK && s.onCommit != nil {
		s.onCommit(r.RemoteAddr, txn)
	}
	WriteJSON(w, status, body)
}

func (s *Store) tryCommit(txn Txn) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []Row
	holds := true
	for _, condition := range txn.Conditions {
		found := s.rows[condition.id()]
		holds = holds && found.Ver == condition.Ver
		if found.Ver != 0 {
			current = append(current, found)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, s.answer(current)
	}
	s.version++
	for _, write := range txn.Writes {
		write.Ver = s.version
		s.apply(write)
	}
	for _, removal := range txn.Removals {
		removal.Ver, removal.Tombstone = s.version, true
		s.apply(removal)
	}
	return http.StatusOK, s.answer(nil)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	var found []Row
	for key, row := range s.rows {
		isBefore := query.Get("target") != "" && key.key >= query.Get("target")
		if key.table == query.Get("table") && key.part == query.Get("part") && key.key >= query.Get("from") && !isBefore {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	out := s.answer(found[:min(limit, len(found))])
	out.HasMore = len(found) > limit
	s.mu.Unlock()
	WriteJSON(w, http.StatusOK, out)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var changed []Row
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		for _, row := range s.history[first:] {
			if row.Table == query.Get("table") {
				changed = append(changed, row)
			}
		}
		out := s.answer(changed)
		s.mu.Unlock()
		if len(changed) > 0 || time.Now().After(until) {
			WriteJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(feedPoll):
		}
	}
}

// WriteJSON writes an answer.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
