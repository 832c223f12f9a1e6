package manager

import "net/http"

// Handler returns the operators' API.
func (m *Manager) Handler(_ []byte) http.Handler { return http.NotFoundHandler() }
