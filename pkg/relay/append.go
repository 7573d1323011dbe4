package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
)

// answerSlack is how long after the end of its time an appender may take to answer. A call that takes longer means that the appender is
// lost.
const answerSlack = 300 * time.Millisecond

// AppendRequest asks a process to store a record for another one.
type AppendRequest struct {
	Record oleanderline.KeyedRecord
	Wait   time.Duration // within which it answers
}

// AppendReply is the reply to Append.
type AppendReply struct{ Outcome Outcome }

// ErrNotInTime means that a record was not and will not be stored by a process, because that would take too long. Others would have to
// wait for the same log.
var ErrNotInTime = fmt.Errorf("the log answers too slowly to store it in time: %w", oleanderline.ErrUnavailable)

// Append stores a record on behalf of a peer that has chosen this process as its appender.
func (s *Service) Append(request AppendRequest, reply *AppendReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), request.Wait)
	defer cancel()
	reply.Outcome = outcomeOf(s.backend.AppendHere(ctx, request.Record))
	return nil
}

// Append stores a record through the process at an address. ErrUnavailable and ErrNotInTime guarantee that it has not stored the record and
// will not store it. The call goes on for answerSlack after ctx is done, because ending it would close the connection that other calls use.
func (c *Client) Append(ctx context.Context, address string, request AppendRequest) error {
	conn := c.pool.Client(address)
	if conn == nil {
		return oleanderline.ErrUnavailable // there is no key for peers yet
	}
	done := make(chan error, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), request.Wait+answerSlack)
		defer cancel()
		var reply AppendReply
		err := conn.Call(callCtx, serviceName+".Append", request, &reply)
		if err == nil {
			err = reply.Outcome.err()
		}
		done <- err
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return oleanderline.ErrUncertain
	}
}

// noticeTimeout limits the call that tells one peer of a slow log. A later notice says nothing that the peer does not know.
const noticeTimeout = 300 * time.Millisecond

// SlowNotice tells a process that appends to the log have begun to take long.
type SlowNotice struct{ Answer time.Duration } // how long an append has had no answer

// Slow takes a notice of the leader.
func (s *Service) Slow(notice SlowNotice, _ *struct{}) error {
	s.backend.ObserveSlow(notice.Answer)
	return nil
}

// Slow sends a notice to the process at an address.
func (c *Client) Slow(ctx context.Context, address string, notice SlowNotice) error {
	conn := c.pool.Client(address)
	if conn == nil {
		return oleanderline.ErrUnavailable // there is no key for peers yet
	}
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	return conn.Call(ctx, serviceName+".Slow", notice, &struct{}{})
}
