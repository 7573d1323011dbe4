// Package agent serves a part of the workers on behalf of a leader: it renews their leases, collects their reports and executes
// orders. It pulls batches of items from the leader and pushes batches of events to it. It makes no scheduling decisions.
package agent

import (
	"context"
	"errors"
	"sync"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// LeaderClient calls leaders by their addresses.
type LeaderClient interface {
	Pull(ctx context.Context, address string, request PullRequest) (PullReply, error)
	Push(ctx context.Context, address string, request PushRequest) (PushReply, error)
}

// Dial returns the client of a worker.
type Dial func(id oleanderline.WorkerID, address string) oleanderline.Runner

// ErrStaleInvitation means that an invitation is older than the current one, which is of the same leader or of a later one.
var ErrStaleInvitation = errors.New("invitation is older than the current one")

// Agent serves one leader at a time, the one with the newest invitation. It is safe for concurrent use.
type Agent struct {
	common *common.Common
	vm     oleanderline.VMID
	dial   Dial
	leader LeaderClient
	// inService reports whether tasks may start in a failure domain, as far as this process knows.
	inService func(domain oleanderline.DomainID) bool

	mu      sync.Mutex
	session *session
	stopped bool
	wg      sync.WaitGroup
}

// Option changes an agent in New.
type Option func(*Agent)

// WithDomains makes an agent start tasks only in failure domains of which inService reports that they are in service.
func WithDomains(inService func(domain oleanderline.DomainID) bool) Option {
	return func(a *Agent) { a.inService = inService }
}

// New returns an agent. It serves no workers until it is invited.
func New(c *common.Common, vm oleanderline.VMID, dial Dial, leader LeaderClient, options ...Option) *Agent {
	a := &Agent{common: c, vm: vm, dial: dial, leader: leader}
	for _, option := range options {
		option(a)
	}
	return a
}

// Invite starts to serve a leader. A newer invitation ends the current session, even if it is of the same leader, which no longer
// uses the earlier invitation. A repeated invitation has no effect.
func (a *Agent) Invite(invitation Invitation) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return oleanderline.ErrUnavailable
	}
	if a.session != nil {
		switch a.session.invitation.compare(invitation) {
		case 0:
			return nil
		case 1:
			return ErrStaleInvitation
		}
		a.session.cancel(errNewerInvitation)
	}
	a.session = newSession(a, invitation)
	a.common.Event(common.EventAgentBegins).WithField("term", invitation.Term).WithField("leader", invitation.Address).
		Info("started to serve workers for a leader")
	a.wg.Go(a.session.run)
	return nil
}

// Leave announces to the leader with the next pull that this process is about to stop, so that others serve its workers.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.session != nil {
		a.session.leaving.Store(true)
	}
}

// Stop ends the session, waits for its goroutines and refuses later invitations.
func (a *Agent) Stop() {
	a.mu.Lock()
	a.stopped = true
	if a.session != nil {
		a.session.cancel(errStopped)
	}
	a.mu.Unlock()
	a.wg.Wait()
}
