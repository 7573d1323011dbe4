package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/peer"
)

// peers holds the RPC clients of the other entries.
type peers struct {
	common  *common.Common
	key     string
	timeout time.Duration
	members *members

	mu      sync.Mutex
	clients map[string]*peer.Client
}

func newPeers(c *common.Common, key string, timeout time.Duration, m *members) *peers {
	return &peers{common: c, key: key, timeout: timeout, members: m, clients: map[string]*peer.Client{}}
}

func (p *peers) client(address string) *peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, ok := p.clients[address]
	if !ok {
		client = peer.NewClient(address, p.key, peer.WithTimeout(p.timeout), peer.WithByteCounter(p.common.PeerBytes()))
		p.clients[address] = client
	}
	return client
}

// call calls an RPC method of an alive peer.
func (p *peers) call(ctx context.Context, id oleanderline.VMID, method string, args, reply any) error {
	address, ok := p.members.peerAddresses(p.common.Clock.Now())[id]
	if !ok {
		return fmt.Errorf("call %s at %s: not an alive member: %w", method, id, oleanderline.ErrUnavailable)
	}
	return p.client(address).Call(ctx, "Entry."+method, args, reply)
}

// retainOnly closes the clients of all other addresses.
func (p *peers) retainOnly(addresses []string) {
	keep := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		keep[address] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, client := range p.clients {
		if !keep[address] {
			client.Close()
			delete(p.clients, address)
		}
	}
}

func (p *peers) close() { p.retainOnly(nil) }
