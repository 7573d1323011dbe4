// Package eventloop runs event loops on protoactor-go: each Loop is an actor with a bounded mailbox.
package eventloop

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"
)

// Loop is an event loop: an actor that handles messages one at a time, in the order in which they were accepted.
type Loop struct {
	root    *actor.RootContext
	pid     *actor.PID
	pending atomic.Int64
	limit   int64
	onPanic func(reason any)
	failed  bool // whether a message has caused a panic; used only by the actor
}

// Option configures a Loop.
type Option func(*Loop)

// WithPanicHandler sets the function that is called after a panic of the message handler. The default ends the process.
func WithPanicHandler(onPanic func(reason any)) Option {
	return func(l *Loop) { l.onPanic = onPanic }
}

// mailboxSlack is how much larger the mailbox is than the admission limit, because the library's bounded mailbox busy-waits when
// full. The slack also holds the library's system messages.
const mailboxSlack = 64

// New starts an event loop that admits at most limit messages, queued or being handled, and calls handle for each. A panic of
// handle ends the process: the library would restart the actor and continue with half-changed state, whereas another process
// can take over from the log.
func New(system *actor.ActorSystem, limit int, handle func(message any), options ...Option) *Loop {
	l := &Loop{root: system.Root, limit: int64(limit), onPanic: crashProcess}
	for _, option := range options {
		option(l)
	}
	receive := func(c actor.Context) {
		switch message := c.Message().(type) {
		case actor.SystemMessage, actor.AutoReceiveMessage, *actor.Started, *actor.Stopping, *actor.Stopped,
			*actor.Restarting:
		default:
			defer l.pending.Add(-1)
			if !l.failed {
				l.run(handle, message)
			}
		}
	}
	props := actor.PropsFromFunc(receive, actor.WithMailbox(actor.Bounded(limit+mailboxSlack)))
	l.pid = system.Root.Spawn(props)
	return l
}

// crashProcess ends the process by a panic in a new goroutine, because the library recovers panics in the actor.
func crashProcess(reason any) { go panic(reason) }

func (l *Loop) run(handle func(message any), message any) {
	defer func() {
		if reason := recover(); reason != nil {
			l.failed = true
			l.onPanic(fmt.Errorf("panic in the message handler: %v\n%s", reason, debug.Stack()))
		}
	}()
	handle(message)
}

// Post sends a message to the event loop. It does not block, and returns false if the event loop already has limit messages.
func (l *Loop) Post(message any) bool {
	if l.pending.Add(1) > l.limit {
		l.pending.Add(-1)
		return false
	}
	l.root.Send(l.pid, message)
	return true
}

// Pending returns the number of messages that are queued or being handled.
func (l *Loop) Pending() int { return int(l.pending.Load()) }

// Stop waits until the event loop has handled all accepted messages, and ends it.
func (l *Loop) Stop() error {
	return l.root.PoisonFuture(l.pid).Wait()
}
