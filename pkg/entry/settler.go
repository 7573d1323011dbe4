package entry

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
)

const (
	settleQueue   = 4096
	settleWorkers = 8
	settleTries   = 3
	settlePause   = 50 * time.Millisecond
)

// settler brings the results of keyed requests to the entries that hold their keys, without delaying the answers.
type settler struct {
	common  *common.Common
	home    *keyHome
	queue   chan settleMessage
	workers sync.WaitGroup

	mu     sync.RWMutex
	closed bool
}

type settleMessage struct {
	to   oleanderline.VMID
	args SettleArgs
}

func newSettler(c *common.Common, home *keyHome) *settler {
	return &settler{common: c, home: home, queue: make(chan settleMessage, settleQueue)}
}

func (s *settler) start() {
	for range settleWorkers {
		s.workers.Go(func() {
			for message := range s.queue {
				s.send(message)
			}
		})
	}
}

// close sends what is queued and ends. Later results stay here; they come only from requests that were broken off.
func (s *settler) close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
	s.mu.Unlock()
	s.workers.Wait()
}

// post queues a message and reports whether there was room.
func (s *settler) post(message settleMessage) bool {
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

func (s *settler) send(message settleMessage) {
	for range settleTries {
		err := s.home.peers.call(context.Background(), message.to, "Settle", message.args, &struct{}{})
		if err == nil {
			return
		}
		timer := s.common.Clock.NewTimer(settlePause)
		<-timer.C()
	}
	// The sender's own copy tells a new home.
}

// tell records a result here and at the other holders.
func (s *settler) tell(args SettleArgs, holders []oleanderline.VMID) {
	s.home.settle(args)
	for _, id := range holders {
		if id == s.home.self.ID {
			continue
		}
		if message := (settleMessage{to: id, args: args}); !s.post(message) {
			s.send(message)
		}
	}
}

// release takes back an attempt that got no permission, in case that the permission was lost on the way.
func (s *settler) release(args JoinArgs, holders []oleanderline.VMID) {
	record := idempotency.Record{Key: args.Key, Print: args.Print, Executor: args.Executor, Token: args.Token}
	if len(holders) == 0 {
		holders = []oleanderline.VMID{s.home.members.plan(args.Key, s.common.Clock.Now()).home}
	}
	s.tell(SettleArgs{Record: record, Release: true}, holders)
}

// settlement is the one result of one attempt with a key.
type settlement struct {
	settler *settler
	args    JoinArgs
	holders []oleanderline.VMID
}

// end reports the result. The state and the answer of record are used.
func (s *settlement) end(record idempotency.Record, release bool) {
	record.Key = s.args.Key
	record.Print = s.args.Print
	record.Executor = s.args.Executor
	record.Token = s.args.Token
	s.settler.tell(SettleArgs{Record: record, Release: release}, s.holders)
}
