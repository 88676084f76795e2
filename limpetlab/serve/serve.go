// Package serve runs the HTTP handler of a simulated server on an address, and can
// stop and restart it at the same address.
//
// # Usage
//
//	s, err := serve.Start("127.0.0.1:0", handler)
//	defer s.Stop()
//	address := s.Address()
//	s.Stop()    // closes all connections and refuses new ones
//	s.Restart() // serves again at the same address
package serve

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout is the maximum time to read a request's header.
const headerTimeout = 10 * time.Second

// Server is an HTTP server that keeps its address over restarts.
type Server struct {
	address string
	handler http.Handler

	mu     sync.Mutex
	server *http.Server
}

// Start serves handler at address. Port 0 selects a free port, which the server
// keeps.
func Start(address string, handler http.Handler) (*Server, error) {
	s := &Server{address: address, handler: handler}
	return s, s.Restart()
}

// Address returns the server's address as host:port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Restart starts serving again at the same address. It does nothing if the server
// is running.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	s.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Stop closes all connections and refuses new ones.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	_ = s.server.Close()
	s.server = nil
}

// WriteJSON writes value as the JSON body of the response.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// DecodeJSON decodes the JSON body of a request into value and reports whether it
// succeeded. On failure it answers with status 400.
func DecodeJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// AbortConnection closes the connection without a response. It panics with
// http.ErrAbortHandler, so it doesn't return.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
