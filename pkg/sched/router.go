package sched

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// ownerRetry is the pause before the next attempt to reach the owner of a shard, for example while another process takes the
// shard over.
const ownerRetry = 200 * time.Millisecond

// localCall makes a call to a shard in this process.
type localCall func(ctx context.Context, s *shardRunner) (shard.Answer, error)

// ownerCall is a call to the owner of a shard, which is either this process or a peer.
type ownerCall struct {
	shard  oleanderline.ShardID
	local  localCall
	method string
	args   any
}

// Submit implements submit.Backend. The idempotency key of the job makes retries safe, so the call is repeated until the
// owner answers or the hold time has passed.
func (d *Daemon) Submit(ctx context.Context, job journal.Job) shard.Answer {
	job.ID = shard.NewJobID(job.Key, len(d.shards))
	id, err := shard.ParseJobID(job.ID)
	if err != nil {
		return shard.Answer{Verdict: shard.NotRun, Reason: err.Error()}
	}
	return d.callOwner(ctx, ownerCall{
		shard: id, method: serviceName + ".Submit", args: SubmitArgs{Job: job},
		local: func(ctx context.Context, s *shardRunner) (shard.Answer, error) {
			return s.request(ctx, func(token shard.Token) shard.Event { return shard.Submit{Token: token, Job: job} })
		},
	})
}

// Cancel implements submit.Backend.
func (d *Daemon) Cancel(ctx context.Context, job oleanderline.JobID) shard.Answer {
	id, err := d.shardOf(job)
	if err != nil {
		return shard.Answer{Verdict: shard.Accepted, Jobs: []shard.JobStatus{{ID: job}}}
	}
	return d.callOwner(ctx, ownerCall{
		shard: id, method: serviceName + ".Cancel", args: JobArgs{Job: job},
		local: func(ctx context.Context, s *shardRunner) (shard.Answer, error) {
			return s.request(ctx, func(token shard.Token) shard.Event {
				return shard.Cancel{Token: token, Jobs: []oleanderline.JobID{job}}
			})
		},
	})
}

// Job implements submit.Backend.
func (d *Daemon) Job(ctx context.Context, job oleanderline.JobID) (shard.JobStatus, error) {
	id, err := d.shardOf(job)
	if err != nil {
		return shard.JobStatus{ID: job}, nil
	}
	answer := d.callOwner(ctx, ownerCall{
		shard: id, method: serviceName + ".Job", args: JobArgs{Job: job},
		local: func(ctx context.Context, s *shardRunner) (shard.Answer, error) { return s.jobStatus(ctx, job) },
	})
	if answer.Verdict != shard.Accepted || len(answer.Jobs) != 1 {
		return shard.JobStatus{ID: job}, fmt.Errorf("job %s: %s", job, answer.Reason)
	}
	return answer.Jobs[0], nil
}

func (d *Daemon) shardOf(job oleanderline.JobID) (oleanderline.ShardID, error) {
	id, err := shard.ParseJobID(job)
	if err == nil && int(id) >= len(d.shards) {
		err = fmt.Errorf("job id %q: there is no shard %d", job, id)
	}
	return id, err
}

// jobStatus returns the status of a job if this process owns the shard.
func (s *shardRunner) jobStatus(ctx context.Context, job oleanderline.JobID) (shard.Answer, error) {
	var answer shard.Answer
	err := s.inspect(ctx, func(core *shard.Core) {
		if !core.Owning() {
			answer.Verdict = shard.NotOwner
			answer.Owner, answer.Address = core.Owner()
			return
		}
		answer.Verdict, answer.Jobs = shard.Accepted, []shard.JobStatus{core.JobStatus(job)}
	})
	return answer, err
}

// callOwner repeats a call until the owner of the shard answers. Once an answer was lost, a later answer that the call was
// not run no longer counts, because the first call may have taken effect.
func (d *Daemon) callOwner(ctx context.Context, call ownerCall) shard.Answer {
	ctx, cancel := context.WithTimeout(ctx, d.settings.AnswerTimeout+callTimeout)
	defer cancel()
	uncertain := false
	hint := ""
	for {
		answer, err := d.callOwnerOnce(ctx, call, hint)
		switch {
		case err == nil && answer.Verdict == shard.Uncertain, err != nil && !errors.Is(err, oleanderline.ErrUnavailable):
			uncertain = true
		case err == nil && answer.Verdict != shard.NotOwner && (answer.Verdict != shard.NotRun || !uncertain):
			return answer
		}
		hint = answer.Address
		timer := d.common.Clock.NewTimer(ownerRetry)
		select {
		case <-timer.C():
		case <-ctx.Done():
			return timeoutAnswer(uncertain)
		case <-d.ctx.Done():
			return timeoutAnswer(uncertain)
		}
	}
}

func timeoutAnswer(uncertain bool) shard.Answer {
	if uncertain {
		return shard.Answer{Verdict: shard.Uncertain, Reason: "the owner of the shard did not answer; ask again with the same key"}
	}
	return shard.Answer{Verdict: shard.NotRun, Reason: "no owner of the shard was found in time"}
}

// maxHops is the most peers that one attempt calls while it follows their answers to the owner.
const maxHops = 3

// callOwnerOnce calls this process and, if it does not own the shard, the peer that the hint, an answer or the rendezvous
// order names as the owner. The hint comes first, because it is newer than what this process has read.
func (d *Daemon) callOwnerOnce(ctx context.Context, call ownerCall, hint string) (shard.Answer, error) {
	answer, err := call.local(ctx, d.shards[call.shard])
	if errors.Is(err, errBusy) {
		return shard.Answer{Verdict: shard.NotRun, Reason: err.Error()}, nil
	}
	if err != nil || answer.Verdict != shard.NotOwner {
		return answer, err
	}
	tried := map[string]bool{"": true, d.settings.PeerListen: true}
	for range maxHops {
		address := firstUntried(tried, hint, answer.Address, d.membership.preferredOwner(call.shard))
		if address == "" {
			return answer, nil
		}
		tried[address] = true
		var reply shard.Answer
		if err := d.membership.client(address).Call(ctx, call.method, call.args, &reply); err != nil {
			return reply, err
		}
		if reply.Verdict != shard.NotOwner {
			return reply, nil
		}
		answer, hint = reply, ""
	}
	return answer, nil
}

// firstUntried returns the first address that has not been called yet, or "".
func firstUntried(tried map[string]bool, addresses ...string) string {
	for _, address := range addresses {
		if !tried[address] {
			return address
		}
	}
	return ""
}
