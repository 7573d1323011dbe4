// Package duty runs one goroutine per duty on protoactor-go: each duty is an actor with a bounded mailbox.
package duty

import (
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"
)

// Duty is an actor that handles messages one at a time, in the order in which they were accepted.
type Duty struct {
	root    *actor.RootContext
	pid     *actor.PID
	pending atomic.Int64
	limit   int64
}

// mailboxSlack keeps the mailbox larger than the admission bound, because the library's bounded mailbox spins when full.
// The slack also holds the system messages of the library.
const mailboxSlack = 64

// New starts a duty that admits at most limit messages waiting or in work, and passes each to handle.
func New(system *actor.ActorSystem, limit int, handle func(message any)) *Duty {
	d := &Duty{root: system.Root, limit: int64(limit)}
	receive := func(c actor.Context) {
		switch message := c.Message().(type) {
		case actor.SystemMessage, actor.AutoReceiveMessage, *actor.Started, *actor.Stopping, *actor.Stopped,
			*actor.Restarting:
		default:
			defer d.pending.Add(-1)
			handle(message)
		}
	}
	props := actor.PropsFromFunc(receive, actor.WithMailbox(actor.Bounded(limit+mailboxSlack)))
	d.pid = system.Root.Spawn(props)
	return d
}

// Post hands a message to the duty. It returns false at once, without blocking, if the duty has limit messages already.
func (d *Duty) Post(message any) bool {
	if d.pending.Add(1) > d.limit {
		d.pending.Add(-1)
		return false
	}
	d.root.Send(d.pid, message)
	return true
}

// Pending returns the number of messages that are waiting or in work.
func (d *Duty) Pending() int { return int(d.pending.Load()) }

// Stop lets the duty finish the messages that it has accepted, and waits for it.
func (d *Duty) Stop() error {
	return d.root.PoisonFuture(d.pid).Wait()
}
