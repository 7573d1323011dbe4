// Package duty runs event loops on protoactor-go: each Duty is an actor with a bounded mailbox.
package duty

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"
)

// Duty is an event loop: an actor that handles messages one at a time, in the order in which they were accepted.
type Duty struct {
	root    *actor.RootContext
	pid     *actor.PID
	pending atomic.Int64
	limit   int64
	onPanic func(reason any)
	failed  bool // whether a message has caused a panic; used only by the actor
}

// Option configures a Duty.
type Option func(*Duty)

// WithPanicHandler sets the function that is called after a panic of the message handler. The default ends the process.
func WithPanicHandler(onPanic func(reason any)) Option {
	return func(d *Duty) { d.onPanic = onPanic }
}

// mailboxSlack is how much larger the mailbox is than the admission limit, because the library's bounded mailbox busy-waits when
// full. The slack also holds the library's system messages.
const mailboxSlack = 64

// New starts a duty that admits at most limit messages, queued or being handled, and calls handle for each. A panic of handle ends
// the process: the library would restart the actor and continue with half-changed state, whereas another process can take over
// from the log.
func New(system *actor.ActorSystem, limit int, handle func(message any), options ...Option) *Duty {
	d := &Duty{root: system.Root, limit: int64(limit), onPanic: crashProcess}
	for _, option := range options {
		option(d)
	}
	receive := func(c actor.Context) {
		switch message := c.Message().(type) {
		case actor.SystemMessage, actor.AutoReceiveMessage, *actor.Started, *actor.Stopping, *actor.Stopped,
			*actor.Restarting:
		default:
			defer d.pending.Add(-1)
			if !d.failed {
				d.run(handle, message)
			}
		}
	}
	props := actor.PropsFromFunc(receive, actor.WithMailbox(actor.Bounded(limit+mailboxSlack)))
	d.pid = system.Root.Spawn(props)
	return d
}

// crashProcess ends the process by a panic in a new goroutine, because the library recovers panics in the actor.
func crashProcess(reason any) { go panic(reason) }

func (d *Duty) run(handle func(message any), message any) {
	defer func() {
		if reason := recover(); reason != nil {
			d.failed = true
			d.onPanic(fmt.Errorf("panic in the message handler: %v\n%s", reason, debug.Stack()))
		}
	}()
	handle(message)
}

// Post sends a message to the duty. It does not block, and returns false if the duty already has limit messages.
func (d *Duty) Post(message any) bool {
	if d.pending.Add(1) > d.limit {
		d.pending.Add(-1)
		return false
	}
	d.root.Send(d.pid, message)
	return true
}

// Pending returns the number of messages that are queued or being handled.
func (d *Duty) Pending() int { return int(d.pending.Load()) }

// Stop waits until the duty has handled all accepted messages, and ends it.
func (d *Duty) Stop() error {
	return d.root.PoisonFuture(d.pid).Wait()
}
