package peer

import "sync"

// Pool keeps one Client for each address. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	key     string
	clients map[string]*Client
}

// NewPool returns a pool whose Client method returns nil until SetKey is called.
func NewPool() *Pool { return &Pool{clients: map[string]*Client{}} }

// SetKey sets the shared key that clients created later present to peers.
func (p *Pool) SetKey(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.key = key
}

// Client returns the client for an address, or nil if the key has not been set.
func (p *Pool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.key == "" {
		return nil
	}
	client := p.clients[address]
	if client == nil {
		client = NewClient(address, p.key)
		p.clients[address] = client
	}
	return client
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.clients {
		client.Close()
	}
}
