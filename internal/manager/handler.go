package manager

import (
	"net/http"

	"github.com/lovagedyke/lovagedyke/internal/operator"
)

// Handler returns the operators' API. Requests must carry operatorKey.
func (m *Manager) Handler(operatorKey []byte) http.Handler {
	return operator.New(operator.Config{
		Store:       m.node.Store(),
		Committer:   m,
		Fleet:       m,
		Hosts:       m,
		Waves:       m,
		Evacuations: m,
		Records:     records{store: m.node.Store()},
		Keys:        func() [][]byte { return [][]byte{operatorKey} },
		Dump:        func() any { return m.Snapshot() },
	})
}
