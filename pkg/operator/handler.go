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

// Service names under which the daemons register their handlers.
const (
	EntryService = "Entry"
	SchedService = "Sched"
)

// Args is the argument of calls that need none. It has a field because gob cannot send a type without exported fields.
type Args struct{ By string }

// WhyArgs is the argument of Why.
type WhyArgs struct{ Task oleanderline.TaskID }

// Statuser returns the status of a daemon. It must not block on I/O.
type Statuser interface {
	// Status returns the status without Rules, which the handler adds from the follower.
	Status() Status
}

// Explainer explains the state of a task. Schedulers implement it.
type Explainer interface {
	Explain(task oleanderline.TaskID) TaskExplanation
}

var errUnsupported = errors.New("this daemon does not answer that")

// Handler serves the operators' calls at one daemon.
type Handler struct {
	common    *common.Common
	statuser  Statuser
	follower  *rules.Follower
	counter   *burn.Counter
	explainer Explainer
}

// HandlerOption configures a Handler.
type HandlerOption func(*Handler)

// WithCounter makes the handler of an entry serve the call Burn and the page /burn.
func WithCounter(counter *burn.Counter) HandlerOption {
	return func(h *Handler) { h.counter = counter }
}

// WithExplainer makes the handler of a scheduler serve the call Why.
func WithExplainer(explainer Explainer) HandlerOption {
	return func(h *Handler) { h.explainer = explainer }
}

// NewHandler returns a handler for the daemon whose status is given.
func NewHandler(c *common.Common, status Statuser, follower *rules.Follower, options ...HandlerOption) *Handler {
	h := &Handler{common: c, statuser: status, follower: follower}
	for _, option := range options {
		option(h)
	}
	return h
}

// Register registers the handler with the server of the operator listener; name is EntryService or SchedService.
func (h *Handler) Register(server *peer.Server, name string) error {
	if err := server.Register(name, (*Calls)(h)); err != nil {
		return fmt.Errorf("register operator calls: %w", err)
	}
	if h.counter != nil {
		server.HandleAuthenticated("/burn", h.burnPage())
	}
	return nil
}

// burnPage serves a page with the counts of this entry alone.
func (h *Handler) burnPage() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		report := burn.NewReport(h.counter.Snapshot(h.common.Clock.Now()), nil)
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
		_ = burn.WritePage(w, "entry "+string(h.statuser.Status().ID)+" alone", report)
	})
}

// Calls is a Handler with the methods that net/rpc serves.
type Calls Handler

// Status returns the status of the daemon.
func (h *Calls) Status(_ Args, reply *Status) error {
	*reply = h.statuser.Status()
	reply.Rules = h.follower.Status()
	return nil
}

// Rules returns the rules in force at the daemon.
func (h *Calls) Rules(_ Args, reply *rules.Snapshot) error {
	*reply = h.follower.Snapshot()
	return nil
}

// Burn returns the request counts of an entry.
func (h *Calls) Burn(_ Args, reply *burn.Snapshot) error {
	if h.counter == nil {
		return errUnsupported
	}
	*reply = h.counter.Snapshot(h.common.Clock.Now())
	return nil
}

// Why explains the state of a task.
func (h *Calls) Why(args WhyArgs, reply *TaskExplanation) error {
	if h.explainer == nil {
		return errUnsupported
	}
	*reply = h.explainer.Explain(args.Task)
	return nil
}
