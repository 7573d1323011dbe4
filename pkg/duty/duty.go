// Package duty runs one goroutine per duty on protoactor-go: each duty is an actor with a bounded mailbox.
package duty

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"
)

// Duty is an actor that handles messages one at a time, in the order in which they were accepted.
type Duty struct {
	root    *actor.RootContext
	pid     *actor.PID
	pending atomic.Int64
	limit   int64
	crash   func(reason any)
	broken  bool // used only by the actor
}

// Option changes a Duty while it is built.
type Option func(*Duty)

// WithCrash replaces what happens after a panic of the handler. The default ends the process.
func WithCrash(crash func(reason any)) Option {
	return func(d *Duty) { d.crash = crash }
}

// mailboxSlack keeps the mailbox larger than the admission bound, because the library's bounded mailbox spins when full.
// The slack also holds the system messages of the library.
const mailboxSlack = 64

// New starts a duty that admits at most limit messages waiting or in work, and passes each to handle. A panic of handle
// ends the process: the library would restart the actor and go on with state that is only half changed, while another
// process can take over from the log.
func New(system *actor.ActorSystem, limit int, handle func(message any), options ...Option) *Duty {
	d := &Duty{root: system.Root, limit: int64(limit), crash: endProcess}
	for _, option := range options {
		option(d)
	}
	receive := func(c actor.Context) {
		switch message := c.Message().(type) {
		case actor.SystemMessage, actor.AutoReceiveMessage, *actor.Started, *actor.Stopping, *actor.Stopped,
			*actor.Restarting:
		default:
			defer d.pending.Add(-1)
			if !d.broken {
				d.run(handle, message)
			}
		}
	}
	props := actor.PropsFromFunc(receive, actor.WithMailbox(actor.Bounded(limit+mailboxSlack)))
	d.pid = system.Root.Spawn(props)
	return d
}

// endProcess panics outside the actor, whose library would recover.
func endProcess(reason any) { go panic(reason) }

func (d *Duty) run(handle func(message any), message any) {
	defer func() {
		if reason := recover(); reason != nil {
			d.broken = true
			d.crash(fmt.Errorf("panic in a duty: %v\n%s", reason, debug.Stack()))
		}
	}()
	handle(message)
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
