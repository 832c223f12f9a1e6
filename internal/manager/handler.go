package manager

import (
	"context"
	"net/http"

	"github.com/lovagedyke/lovagedyke/internal/operator"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// Handler returns the operators' API, for holders of the operator key.
func (m *Manager) Handler(operatorKey []byte) http.Handler {
	return operator.New(operator.Config{
		Store:   m.node.Store(),
		Author:  m,
		Fleet:   m,
		Records: records{},
		Keys:    func() [][]byte { return [][]byte{operatorKey} },
		Dump:    func() any { return m.Snapshot() },
	})
}

// records reads charges for the operators' API.
type records struct{}

// Charge implements operator.Records.
func (records) Charge(context.Context, string) (api.Charge, error) {
	return api.Charge{}, operator.ErrNotFound
}

// Unproven implements operator.Records.
func (records) Unproven(context.Context) ([]api.Run, error) { return nil, nil }
