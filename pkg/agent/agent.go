// Package agent serves a share of the workers for a leader: it renews their leases, takes their reports and carries out
// orders, and exchanges batches with the leader. It decides nothing about tasks.
package agent

import (
	"context"
	"errors"
	"sync"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// Leader is how an agent reaches leaders by their addresses.
type Leader interface {
	Pull(ctx context.Context, address string, request PullRequest) (PullReply, error)
	Push(ctx context.Context, address string, request PushRequest) (PushReply, error)
}

// Dial returns the client of a worker.
type Dial func(id oleanderline.WorkerID, address string) oleanderline.Runner

// ErrOldInvitation refuses an invitation after a newer one, of the same leader or of a later one.
var ErrOldInvitation = errors.New("a newer invitation is known")

// Agent serves one leader at a time: the newest that has invited it.
type Agent struct {
	common *common.Common
	vm     oleanderline.VMID
	dial   Dial
	leader Leader

	mu      sync.Mutex
	service *service
	stopped bool
	duties  sync.WaitGroup
}

// New returns an agent that serves nobody before an invitation.
func New(c *common.Common, vm oleanderline.VMID, dial Dial, leader Leader) *Agent {
	return &Agent{common: c, vm: vm, dial: dial, leader: leader}
}

// Invite begins to serve a leader anew, also one that is served already: it has given up on the earlier invitation. A repeated
// invitation has no effect.
func (a *Agent) Invite(invitation Invitation) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return oleanderline.ErrUnavailable
	}
	if a.service != nil {
		switch a.service.invitation.compare(invitation) {
		case 0:
			return nil
		case 1:
			return ErrOldInvitation
		}
		a.service.cancel()
	}
	a.service = newService(a, invitation)
	a.common.Event(common.EventAgentBegins).WithField("term", invitation.Term).WithField("leader", invitation.Address).
		Info("serving workers for a leader")
	a.duties.Go(a.service.run)
	return nil
}

// Leave tells the leader that this process is about to stop, so that others serve its workers.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.service != nil {
		a.service.leaving.Store(true)
	}
}

// Stop ends all calls to workers.
func (a *Agent) Stop() {
	a.mu.Lock()
	a.stopped = true
	if a.service != nil {
		a.service.cancel()
	}
	a.mu.Unlock()
	a.duties.Wait()
}
