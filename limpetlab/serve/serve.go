// Package serve runs a stand-in's HTTP handler on a loopback address that can
// be taken away and given back.
//
// # Usage
//
//	s, err := serve.Start("127.0.0.1:0", handler)
//	defer s.Stop()
//	address := s.Address()
//	s.Stop()    // connections break, dials are refused
//	s.Restart() // the same address answers again
package serve

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// Server is an HTTP server on a fixed address.
type Server struct {
	address string
	handler http.Handler

	mu     sync.Mutex
	server *http.Server
}

// Start serves handler at address, which may have port 0.
func Start(address string, handler http.Handler) (*Server, error) {
	s := &Server{address: address, handler: handler}
	return s, s.Restart()
}

// Address returns host:port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Restart listens again at the same address. It does nothing while the server
// runs.
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

// Stop breaks all connections and refuses new ones.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	_ = s.server.Close()
	s.server = nil
}

// JSON answers with a JSON value.
func JSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Read decodes the JSON body of a request, and answers 400 when it can't.
func Read(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Abort breaks the connection without an answer.
func Abort() {
	panic(http.ErrAbortHandler)
}
