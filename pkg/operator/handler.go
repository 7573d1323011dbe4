package operator

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/burn"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/peer"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Names under which the daemons register their handlers.
const (
	EntryService = "Entry"
	SchedService = "Sched"
)

// Args are the arguments of the calls that need none. A type without exported fields cannot be sent.
type Args struct{ By string }

// WhyArgs are the arguments of Why.
type WhyArgs struct{ Task oleanderline.TaskID }

// Statuser tells about a daemon. It must not block on I/O.
type Statuser interface {
	// Status fills in everything but Rules, which the handler takes from the follower.
	Status() Status
}

// Explainer explains the state of a task; schedulers implement it.
type Explainer interface {
	Why(task oleanderline.TaskID) Why
}

var errNotHere = errors.New("this daemon does not answer that")

// Handler answers the operators' calls at one daemon.
type Handler struct {
	common    *common.Common
	status    Statuser
	follower  *rules.Follower
	counter   *burn.Counter
	explainer Explainer
}

// HandlerOption changes a Handler while it is built.
type HandlerOption func(*Handler)

// WithCounter lets the handler answer Burn and serve the page /burn; for entries.
func WithCounter(counter *burn.Counter) HandlerOption {
	return func(h *Handler) { h.counter = counter }
}

// WithExplainer lets the handler answer Why; for schedulers.
func WithExplainer(explainer Explainer) HandlerOption {
	return func(h *Handler) { h.explainer = explainer }
}

// NewHandler returns a handler for the daemon that status tells about.
func NewHandler(c *common.Common, status Statuser, follower *rules.Follower, options ...HandlerOption) *Handler {
	h := &Handler{common: c, status: status, follower: follower}
	for _, option := range options {
		option(h)
	}
	return h
}

// Register adds the handler to the server of the operator listener, under EntryService or SchedService.
func (h *Handler) Register(server *peer.Server, name string) error {
	if err := server.Register(name, (*Calls)(h)); err != nil {
		return fmt.Errorf("register operator calls: %w", err)
	}
	if h.counter != nil {
		server.HandleKey("/burn", h.burnPage())
	}
	return nil
}

// burnPage shows the counts of this entry alone.
func (h *Handler) burnPage() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		report := burn.NewReport(h.counter.Snapshot(h.common.Clock.Now()), nil)
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
		_ = burn.WritePage(w, "entry "+string(h.status.Status().ID)+" alone", report)
	})
}

// Calls are the methods of a Handler that net/rpc offers.
type Calls Handler

// Status tells about the daemon.
func (h *Calls) Status(_ Args, reply *Status) error {
	*reply = h.status.Status()
	reply.Rules = h.follower.Status()
	return nil
}

// Rules returns the rules in force at the daemon.
func (h *Calls) Rules(_ Args, reply *rules.Snapshot) error {
	*reply = h.follower.Snapshot()
	return nil
}

// Burn returns what an entry has counted.
func (h *Calls) Burn(_ Args, reply *burn.Snapshot) error {
	if h.counter == nil {
		return errNotHere
	}
	*reply = h.counter.Snapshot(h.common.Clock.Now())
	return nil
}

// Why explains the state of a task.
func (h *Calls) Why(args WhyArgs, reply *Why) error {
	if h.explainer == nil {
		return errNotHere
	}
	*reply = h.explainer.Why(args.Task)
	return nil
}
