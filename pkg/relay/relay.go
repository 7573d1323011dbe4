// Package relay lets a process that cannot reach the log store records, and read job states and evacuation requests, through another
// process of the cell, over net/rpc.
package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/evacuation"
	"github.com/oleanderline/oleanderline/pkg/peer"
)

const (
	serviceName = "Relay"
	// callTimeout limits the call to one peer, and maxPeers the number of peers that are tried.
	callTimeout = 700 * time.Millisecond
	maxPeers    = 2
)

// Backend handles the calls of peers.
type Backend interface {
	// StoreHere stores a record in the log directly, without a relay.
	StoreHere(ctx context.Context, rec oleanderline.KeyedRecord) error
	// AppendHere is StoreHere for a process that has chosen this one as its appender. It returns before ctx is done.
	AppendHere(ctx context.Context, rec oleanderline.KeyedRecord) error
	// ObserveSlow takes the notice that an append of the leader has had no answer for some time.
	ObserveSlow(answer time.Duration)
	// StateHere returns the state of a job from the records that this process has read.
	StateHere(id oleanderline.JobID) (oleanderline.JobState, error)
	// EvacuationsHere returns the requests to evacuate failure domains that this process has read, and how long ago they were complete.
	// It returns ErrNotReady if it has read none.
	EvacuationsHere() (evacuation.Snapshot, time.Duration, error)
}

// Outcome is the result of a relayed call. It replaces the error, whose identity would be lost on the wire.
type Outcome int

// Outcomes.
const (
	OutcomeDone Outcome = iota
	OutcomeUnavailable
	OutcomeUncertain
	OutcomeUnknownJob
	OutcomeNotReady
	OutcomeNotInTime
)

// StoreReply is the reply to Store.
type StoreReply struct{ Outcome Outcome }

// StateReply is the reply to State.
type StateReply struct {
	Outcome Outcome
	State   oleanderline.JobState
}

// EvacuationsReply is the reply to Evacuations.
type EvacuationsReply struct {
	Outcome  Outcome
	Requests evacuation.Snapshot
	Age      time.Duration // since Requests were complete
}

// Service is the net/rpc service for peers.
type Service struct{ backend Backend }

// Store stores a record on behalf of a peer.
func (s *Service) Store(rec oleanderline.KeyedRecord, reply *StoreReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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

// Evacuations returns the requests to evacuate failure domains to a peer.
func (s *Service) Evacuations(_ struct{}, reply *EvacuationsReply) error {
	requests, age, err := s.backend.EvacuationsHere()
	*reply = EvacuationsReply{Outcome: outcomeOf(err), Requests: requests, Age: age}
	return nil
}

// Register registers the backend with the server for peers.
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
	case errors.Is(err, ErrNotInTime):
		return OutcomeNotInTime
	}
	return OutcomeUnavailable
}

// err returns the error of an outcome. An unknown outcome, from a process of another version, leaves open whether the call took
// effect.
func (o Outcome) err() error {
	errs := [...]error{nil, oleanderline.ErrUnavailable, oleanderline.ErrUncertain, oleanderline.ErrUnknownJob, oleanderline.ErrNotReady, ErrNotInTime}
	if o < 0 || int(o) >= len(errs) {
		return oleanderline.ErrUncertain
	}
	return errs[o]
}

// Client calls the services of peers.
type Client struct {
	peers func() []string // returns the addresses of the peers
	pool  *peer.Pool
}

// NewClient returns a client that uses the connections of a pool.
func NewClient(peers func() []string, pool *peer.Pool) *Client {
	return &Client{peers: peers, pool: pool}
}

// Store stores a record through a peer. ErrUnavailable guarantees that no peer has stored it or will store it.
func (c *Client) Store(ctx context.Context, rec oleanderline.KeyedRecord) error {
	uncertain := false
	err := c.tryPeers(func(conn *peer.Client) error {
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
	err := c.tryPeers(func(conn *peer.Client) error {
		var reply StateReply
		if err := c.call(ctx, conn, "State", id, &reply); err != nil {
			return err
		}
		state = reply.State
		return reply.Outcome.err()
	})
	return state, err
}

// Evacuations asks peers for the requests to evacuate failure domains, until one has a list that was complete within maxAge.
func (c *Client) Evacuations(ctx context.Context, maxAge time.Duration) (evacuation.Snapshot, time.Duration, error) {
	var reply EvacuationsReply
	err := c.tryPeers(func(conn *peer.Client) error {
		reply = EvacuationsReply{}
		if err := c.call(ctx, conn, "Evacuations", struct{}{}, &reply); err != nil {
			return err
		}
		if err := reply.Outcome.err(); err != nil {
			return err
		}
		if reply.Age > maxAge {
			return oleanderline.ErrNotReady
		}
		return nil
	})
	return reply.Requests, reply.Age, err
}

// tryPeers calls up to maxPeers peers in random order until one succeeds or returns ErrUnknownJob.
func (c *Client) tryPeers(call func(conn *peer.Client) error) error {
	err := fmt.Errorf("no peer to ask: %w", oleanderline.ErrUnavailable)
	addresses := c.peers()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(maxPeers, len(addresses))] {
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return conn.Call(ctx, serviceName+"."+method, args, reply)
}
