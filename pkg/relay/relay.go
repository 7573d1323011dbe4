// Package relay lets a process whose own path to the log has failed store and read through another process. It speaks
// net/rpc between own VMs.
package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/peer"
)

const (
	serviceName = "Relay"
	// callLimit bounds one attempt, and attempts how many peers are asked.
	callLimit = 700 * time.Millisecond
	attempts  = 2
)

// Backend is what a process does for others.
type Backend interface {
	// StoreHere stores a record over this process's own path.
	StoreHere(ctx context.Context, rec oleanderline.KeyedRecord) error
	// StateHere returns the state of a job as this process has read it.
	StateHere(id oleanderline.JobID) (oleanderline.JobState, error)
}

// Outcome is how a relayed call ended, as errors do not keep their identity on the wire.
type Outcome int

// Outcomes.
const (
	OutcomeDone Outcome = iota
	OutcomeUnavailable
	OutcomeUncertain
	OutcomeUnknownJob
	OutcomeNotReady
)

// StoreReply answers a call of Store.
type StoreReply struct{ Outcome Outcome }

// StateReply answers a call of State.
type StateReply struct {
	Outcome Outcome
	State   oleanderline.JobState
}

// Service serves the calls of peers.
type Service struct{ backend Backend }

// Store stores a record for a peer.
func (s *Service) Store(rec oleanderline.KeyedRecord, reply *StoreReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	reply.Outcome = outcomeOf(s.backend.StoreHere(ctx, rec))
	return nil
}

// State returns the state of a job to a peer.
func (s *Service) State(id oleanderline.JobID, reply *StateReply) error {
	state, err := s.backend.StateHere(id)
	reply.Outcome, reply.State = outcomeOf(err), state
	return nil
}

// Register offers the backend to peers.
func Register(server *peer.Server, backend Backend) error {
	return server.Register(serviceName, &Service{backend: backend})
}

func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeDone
	case errors.Is(err, oleanderline.ErrUnknownJob):
		return OutcomeUnknownJob
	case errors.Is(err, oleanderline.ErrNotReady):
		return OutcomeNotReady
	case errors.Is(err, oleanderline.ErrUncertain):
		return OutcomeUncertain
	}
	return OutcomeUnavailable
}

// err returns the error of an outcome. One that is not known, from a process of another version, promises nothing.
func (o Outcome) err() error {
	errs := [...]error{nil, oleanderline.ErrUnavailable, oleanderline.ErrUncertain, oleanderline.ErrUnknownJob, oleanderline.ErrNotReady}
	if o < 0 || int(o) >= len(errs) {
		return oleanderline.ErrUncertain
	}
	return errs[o]
}

// Client calls peers.
type Client struct {
	peers func() []string // addresses
	pool  *peer.Pool
}

// NewClient returns a client that calls over the connections of a pool.
func NewClient(peers func() []string, pool *peer.Pool) *Client {
	return &Client{peers: peers, pool: pool}
}

// Store stores a record through a peer. ErrUnavailable promises that no peer has stored it, or will.
func (c *Client) Store(ctx context.Context, rec oleanderline.KeyedRecord) error {
	uncertain := false
	err := c.each(func(conn *peer.Client) error {
		var reply StoreReply
		err := c.call(ctx, conn, "Store", rec, &reply)
		if err == nil {
			err = reply.Outcome.err()
		}
		uncertain = uncertain || errors.Is(err, oleanderline.ErrUncertain)
		return err
	})
	if err != nil && uncertain {
		return oleanderline.ErrUncertain
	}
	return err
}

// State asks a peer for the state of a job.
func (c *Client) State(ctx context.Context, id oleanderline.JobID) (oleanderline.JobState, error) {
	var state oleanderline.JobState
	err := c.each(func(conn *peer.Client) error {
		var reply StateReply
		if err := c.call(ctx, conn, "State", id, &reply); err != nil {
			return err
		}
		state = reply.State
		return reply.Outcome.err()
	})
	return state, err
}

// each calls peers in random order until one succeeds or says that a job is unknown.
func (c *Client) each(call func(conn *peer.Client) error) error {
	err := fmt.Errorf("no peer to ask: %w", oleanderline.ErrUnavailable)
	addresses := c.peers()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(attempts, len(addresses))] {
		conn := c.pool.Client(address)
		if conn == nil {
			return err
		}
		if err = call(conn); err == nil || errors.Is(err, oleanderline.ErrUnknownJob) {
			return err
		}
	}
	return err
}

func (c *Client) call(ctx context.Context, conn *peer.Client, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return conn.Call(ctx, serviceName+"."+method, args, reply)
}
