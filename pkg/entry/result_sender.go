package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
)

const (
	resultQueueSize  = 4096
	resultWorkers    = 8
	maxResultTries   = 3
	resultRetryDelay = 50 * time.Millisecond
)

// resultSender sends the results of requests with idempotency keys to the members that store the keys. It uses a queue,
// so that this does not delay the answers.
type resultSender struct {
	common  *common.Common
	keys    *keyStore
	queue   chan resultMessage
	workers sync.WaitGroup

	mu     sync.RWMutex
	closed bool
}

type resultMessage struct {
	to   oleanderline.VMID
	args SettleArgs
}

func newResultSender(c *common.Common, keys *keyStore) *resultSender {
	return &resultSender{common: c, keys: keys, queue: make(chan resultMessage, resultQueueSize)}
}

func (s *resultSender) start() {
	for range resultWorkers {
		s.workers.Go(func() {
			for message := range s.queue {
				s.send(message)
			}
		})
	}
}

// close sends the queued results and ends the workers. Later results are stored only in this process; they come only
// from requests that were interrupted.
func (s *resultSender) close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
	s.mu.Unlock()
	s.workers.Wait()
}

// enqueue queues a message. It returns false if the queue is full.
func (s *resultSender) enqueue(message resultMessage) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return true
	}
	select {
	case s.queue <- message:
		return true
	default:
		return false
	}
}

func (s *resultSender) send(message resultMessage) {
	for range maxResultTries {
		err := s.keys.peers.call(context.Background(), message.to, "Settle", message.args, &struct{}{})
		if err == nil {
			return
		}
		timer := s.common.Clock.NewTimer(resultRetryDelay)
		<-timer.C()
	}
	// The result is also in this process's own record, from which a new home gets it.
}

// broadcast records a result in this process and at the other holders.
func (s *resultSender) broadcast(args SettleArgs, holders []oleanderline.VMID) {
	s.keys.settle(args)
	for _, id := range holders {
		if id == s.keys.self.ID {
			continue
		}
		if message := (resultMessage{to: id, args: args}); !s.enqueue(message) {
			s.send(message)
		}
	}
}

// release cancels an attempt that got no permission, because the reply with the permission may have been lost.
func (s *resultSender) release(args JoinArgs, holders []oleanderline.VMID) {
	record := idempotency.Record{Key: args.Key, Print: args.Print, Executor: args.Executor, Token: args.Token}
	if len(holders) == 0 {
		// If the reply was lost, any peer may have stored the record.
		holders = s.keys.members.keyPlan(args.Key, s.common.Clock.Now()).peers
	}
	s.broadcast(SettleArgs{Record: record, Release: true}, holders)
}

// pendingResult reports the result of one attempt with a key. It is reported once.
type pendingResult struct {
	sender  *resultSender
	args    JoinArgs
	holders []oleanderline.VMID
}

// report sends the result to all holders of the key. Only the state and the answer of record are used.
func (r *pendingResult) report(record idempotency.Record, release bool) {
	record.Key = r.args.Key
	record.Print = r.args.Print
	record.Executor = r.args.Executor
	record.Token = r.args.Token
	// Home and backup may have changed while the request ran.
	plan := r.sender.keys.members.keyPlan(record.Key, r.sender.common.Clock.Now())
	holders := r.holders
	for _, id := range []oleanderline.VMID{plan.home, plan.backup} {
		if id != "" && !r.sender.keys.disabled.keyBackup && !slices.Contains(holders, id) {
			holders = append(holders, id)
		}
	}
	r.sender.broadcast(SettleArgs{Record: record, Release: release}, holders)
}
