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

// ownerRetry is the pause before the owner of a shard is looked for again, for example during a take-over.
const ownerRetry = 200 * time.Millisecond

// localCall asks the owner of a shard in this process.
type localCall func(ctx context.Context, s *shardDuty) (shard.Answer, error)

// ownerCall is a question to the owner of a shard, asked at this process or at a peer.
type ownerCall struct {
	shard  oleanderline.ShardID
	local  localCall
	method string
	args   any
}

// Submit implements submit.Backend. Repeating a submission is safe because of its key, so it is repeated until the
// owner answers or the hold time is over.
func (d *Daemon) Submit(ctx context.Context, job journal.Job) shard.Answer {
	job.ID = shard.NewJobID(job.Key, len(d.shards))
	id, err := shard.ParseJobID(job.ID)
	if err != nil {
		return shard.Answer{Verdict: shard.NotRun, Reason: err.Error()}
	}
	return d.askOwner(ctx, ownerCall{
		shard: id, method: serviceName + ".Submit", args: SubmitArgs{Job: job},
		local: func(ctx context.Context, s *shardDuty) (shard.Answer, error) {
			return s.ask(ctx, func(token shard.Token) shard.Event { return shard.Submit{Token: token, Job: job} })
		},
	})
}

// Cancel implements submit.Backend.
func (d *Daemon) Cancel(ctx context.Context, job oleanderline.JobID) shard.Answer {
	id, err := d.shardOf(job)
	if err != nil {
		return shard.Answer{Verdict: shard.Accepted, Jobs: []shard.JobStatus{{ID: job}}}
	}
	return d.askOwner(ctx, ownerCall{
		shard: id, method: serviceName + ".Cancel", args: JobArgs{Job: job},
		local: func(ctx context.Context, s *shardDuty) (shard.Answer, error) {
			return s.ask(ctx, func(token shard.Token) shard.Event {
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
	answer := d.askOwner(ctx, ownerCall{
		shard: id, method: serviceName + ".Job", args: JobArgs{Job: job},
		local: func(ctx context.Context, s *shardDuty) (shard.Answer, error) { return s.jobStatus(ctx, job) },
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
func (s *shardDuty) jobStatus(ctx context.Context, job oleanderline.JobID) (shard.Answer, error) {
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

// askOwner repeats a call until the owner of the shard answers. A lost answer makes the result unsure for good.
func (d *Daemon) askOwner(ctx context.Context, call ownerCall) shard.Answer {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Hold+callTimeout)
	defer cancel()
	unsure := false
	hint := ""
	for {
		answer, err := d.askOnce(ctx, call, hint)
		switch {
		case err == nil && answer.Verdict == shard.Unsure, err != nil && !errors.Is(err, oleanderline.ErrUnavailable):
			unsure = true
		case err == nil && answer.Verdict != shard.NotOwner && (answer.Verdict != shard.NotRun || !unsure):
			return answer
		}
		hint = answer.Address
		timer := d.common.Clock.NewTimer(ownerRetry)
		select {
		case <-timer.C():
		case <-ctx.Done():
			return gaveUp(unsure)
		case <-d.ctx.Done():
			return gaveUp(unsure)
		}
	}
}

func gaveUp(unsure bool) shard.Answer {
	if unsure {
		return shard.Answer{Verdict: shard.Unsure, Reason: "the owner of the shard did not answer; ask again with the same key"}
	}
	return shard.Answer{Verdict: shard.NotRun, Reason: "no owner of the shard was found in time"}
}

// maxHops bounds how often a question follows what the answers say about the owner.
const maxHops = 3

// askOnce asks this process, and if it is not the owner, the peer that it or a peer's answer names. The hint is newer
// than what this process knows.
func (d *Daemon) askOnce(ctx context.Context, call ownerCall, hint string) (shard.Answer, error) {
	answer, err := call.local(ctx, d.shards[call.shard])
	if errors.Is(err, errBusy) {
		return shard.Answer{Verdict: shard.NotRun, Reason: err.Error()}, nil
	}
	if err != nil || answer.Verdict != shard.NotOwner {
		return answer, err
	}
	asked := map[string]bool{"": true, d.settings.PeerListen: true}
	for range maxHops {
		address := firstNew(asked, hint, answer.Address, d.roster.first(call.shard))
		if address == "" {
			return answer, nil
		}
		asked[address] = true
		var reply shard.Answer
		if err := d.roster.connect(address).Call(ctx, call.method, call.args, &reply); err != nil {
			return reply, err
		}
		if reply.Verdict != shard.NotOwner {
			return reply, nil
		}
		answer, hint = reply, ""
	}
	return answer, nil
}

// firstNew returns the first address that was not asked yet, or "".
func firstNew(asked map[string]bool, addresses ...string) string {
	for _, address := range addresses {
		if !asked[address] {
			return address
		}
	}
	return ""
}
