// Package peer implements the calls between the processes of the system: net/rpc over TCP. A connection is opened by an HTTP
// CONNECT request that carries the shared key.
package peer

import (
	"crypto/subtle"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline/pkg/common"
)

const (
	connectPath   = "/peer"
	connectStatus = "200 connected"
	keyPrefix     = "Bearer "
	// handshakeTimeout limits how long an unauthenticated connection may stay open.
	handshakeTimeout = 5 * time.Second
)

// Server serves calls from peers and operators that present the shared key.
type Server struct {
	common *common.Common
	key    string
	rpc    *rpc.Server
	mux    *http.ServeMux
	http   *http.Server

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server without services. Services are added with Register before Serve.
func NewServer(c *common.Common, key string) *Server {
	s := &Server{
		common: c,
		key:    key,
		rpc:    rpc.NewServer(),
		mux:    http.NewServeMux(),
		conns:  map[net.Conn]struct{}{},
	}
	s.mux.HandleFunc(connectPath, s.connect)
	s.http = &http.Server{Handler: s.mux, ReadHeaderTimeout: handshakeTimeout}
	return s
}

// HandlePublic registers a handler that needs no shared key, such as for /metrics. It must not be called after Serve.
func (s *Server) HandlePublic(pattern string, handler http.Handler) {
	s.mux.Handle(pattern, handler)
}

// HandleAuthenticated registers a handler for requests that carry the shared key; others get status 403. It must not be called
// after Serve.
func (s *Server) HandleAuthenticated(pattern string, handler http.Handler) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if !KeyMatches(r.Header.Get("Authorization"), s.key) {
			http.Error(w, "wrong key", http.StatusForbidden)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// Register adds the exported methods of receiver under name. It must not be called after Serve.
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Serve accepts connections until Close. It returns nil after Close.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); err != http.ErrServerClosed {
		return fmt.Errorf("peer server: %w", err)
	}
	return nil
}

// Close stops accepting and closes all connections.
func (s *Server) Close() error {
	err := s.http.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return err
}

// connect handles CONNECT: it checks the key, takes over the connection from the HTTP server and serves calls on it.
func (s *Server) connect(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		http.Error(w, "use CONNECT", http.StatusMethodNotAllowed)
		return
	}
	if !KeyMatches(r.Header.Get("Authorization"), s.key) {
		s.common.Event(common.EventPeerRefused).WithField("from", r.RemoteAddr).Warn("refused a peer connection with a wrong key")
		http.Error(w, "wrong key", http.StatusForbidden)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "connection cannot be taken over", http.StatusInternalServerError)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	if _, err := io.WriteString(conn, "HTTP/1.0 "+connectStatus+"\n\n"); err != nil {
		_ = conn.Close()
		return
	}
	s.track(conn, true)
	defer s.track(conn, false)
	s.rpc.ServeCodec(newServerCodec(common.CountBytes(conn, s.common.PeerBytes())))
}

// track adds or removes an open connection, so that Close can close it.
func (s *Server) track(conn net.Conn, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if add {
		s.conns[conn] = struct{}{}
		return
	}
	delete(s.conns, conn)
}

// KeyMatches reports whether an Authorization header carries the shared key. The comparison takes constant time.
func KeyMatches(header, key string) bool {
	return subtle.ConstantTimeCompare([]byte(header), []byte(keyPrefix+key)) == 1
}
