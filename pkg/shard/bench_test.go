package shard_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/health"
	"github.com/oleanderline/oleanderline/pkg/interference"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/placement"
	"github.com/oleanderline/oleanderline/pkg/queue"
	"github.com/oleanderline/oleanderline/pkg/shard"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

// The scale of section 1 of the design.
const (
	benchShards   = 4
	benchWorkers  = 870
	benchStarts   = 480 // a second
	benchRunTime  = 10 * time.Second
	benchStep     = 10 * time.Millisecond
	benchJobTasks = 8
)

// benchRegion is a region in steady state: an owner and a follower for each shard, with appends and reads that take one
// step.
type benchRegion struct {
	clock   *common.VirtualClock
	log     *standin.Log
	cores   [2][benchShards]*shard.Core // owners and followers
	workers map[oleanderline.WorkerID]*standin.Worker
	next    []func()      // to call in the next step
	cpuTime time.Duration // processor time in the cores and in encoding and decoding records
	bytes   int
	jobs    int // submitted in this run
	runs    int // number of this run
}

func newBenchRegion() *benchRegion {
	r := &benchRegion{
		clock:   common.NewVirtualClock(time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)),
		workers: map[oleanderline.WorkerID]*standin.Worker{},
	}
	r.log = standin.NewLog(r.clock)
	vms := [benchShards][]oleanderline.VM{}
	size := oleanderline.Size{CPU: 16_000, Memory: 60_000}
	for i := range benchWorkers {
		id := fmt.Sprintf("w-%d", i)
		vm := oleanderline.VM{
			ID: oleanderline.VMID(id), Role: oleanderline.RoleWorker, State: oleanderline.VMLive, Address: id, Size: size,
			Domain: oleanderline.DomainID(fmt.Sprintf("d-%d", i%4)), Rack: oleanderline.RackID(fmt.Sprintf("rack-%d", i/11)),
		}
		r.workers[oleanderline.WorkerID(id)] = standin.NewWorker(oleanderline.WorkerID(id), size, r.clock)
		n := shard.ForWorker(vm, benchShards)
		vms[n] = append(vms[n], vm)
	}
	for role := range r.cores {
		for id := range benchShards {
			r.cores[role][id] = shard.New(shard.Config{
				Self: own(role), Address: string(own(role)), Writer: oleanderline.WriterID(own(role)),
				Shard: oleanderline.ShardID(id), Chooser: placement.BestFit{}, Limits: shard.DefaultLimits(), Queue: queue.DefaultSettings(), Health: health.DefaultSettings(), Guard: interference.DefaultSettings(),
			})
			r.feed(role, id, shard.Members{Ranked: []shard.Candidate{{ID: own(0), Domain: "d-0"}, {ID: own(1), Domain: "d-1"}}})
			r.feed(role, id, shard.VMs{Workers: vms[id], RequestedAt: r.clock.Now()})
		}
	}
	return r
}

func own(role int) oleanderline.VMID { return oleanderline.VMID(fmt.Sprintf("own-%d", role)) }

func (r *benchRegion) feed(role, id int, event shard.Event) {
	before := time.Now()
	actions := r.cores[role][id].Step(event, r.clock.Now())
	r.cpuTime += time.Since(before)
	for _, action := range actions {
		r.execute(role, id, action)
	}
}

func (r *benchRegion) later(act func()) { r.next = append(r.next, act) }

func (r *benchRegion) execute(role, id int, action shard.Action) {
	switch a := action.(type) {
	case shard.Append:
		before := time.Now()
		data, err := a.Group.Encode()
		r.cpuTime += time.Since(before)
		if err != nil {
			panic(err)
		}
		r.bytes += len(data)
		r.later(func() {
			offset, _ := r.log.Append(context.Background(), stream(id), data)
			r.feed(role, id, shard.AppendDone{Seq: a.Group.Seq, Offset: offset})
		})
	case shard.Read:
		sentAt := r.clock.Now()
		r.later(func() { r.feed(role, id, r.read(id, a, sentAt)) })
	case shard.Call:
		r.later(func() { r.feed(role, id, r.call(id, a)) })
	}
}

func (r *benchRegion) read(id int, request shard.Read, sentAt time.Time) shard.ReadDone {
	batch, _ := r.log.Read(context.Background(), stream(id), request.From, request.Limit)
	before := time.Now()
	done := decode(batch)
	r.cpuTime += time.Since(before)
	done.SentAt, done.From = sentAt, request.From
	return done
}

func decode(batch oleanderline.Batch) shard.ReadDone {
	done := shard.ReadDone{Oldest: batch.Oldest, Next: batch.Next}
	for _, entry := range batch.Entries {
		group, err := journal.Decode(entry.Data)
		if err != nil {
			panic(err)
		}
		done.Groups = append(done.Groups, shard.LocatedGroup{Offset: entry.Offset, Time: entry.Time, Group: group})
	}
	return done
}

func (r *benchRegion) call(id int, call shard.Call) shard.CallDone {
	done := shard.CallDone{Worker: call.Worker, ID: call.ID, Sent: true}
	worker, ctx := r.workers[call.Worker], context.Background()
	switch call.Kind {
	case shard.CallStart:
		done.Err = worker.Start(ctx, call.Start)
	case shard.CallRenew:
		done.Inventory, done.Err = worker.Renew(ctx, call.Renew)
	case shard.CallStop:
		done.Stop, done.Err = worker.Stop(ctx, call.Stop)
	case shard.CallInventory:
		done.Inventory, done.Err = worker.Inventory(ctx, oleanderline.ShardID(id))
	}
	return done
}

// run advances the clock by d, with submissions at the rate of the design if submit is set.
func (r *benchRegion) run(d time.Duration, submit bool) {
	r.jobs = 0
	r.runs++
	for n := range int(d / benchStep) {
		r.clock.Advance(benchStep)
		acts := r.next
		r.next = nil
		for _, act := range acts {
			act()
		}
		for submit && r.jobs*benchJobTasks < (n+1)*benchStarts/int(time.Second/benchStep) {
			r.submit()
		}
		for role := range r.cores {
			for id := range benchShards {
				r.feed(role, id, shard.Tick{})
			}
		}
	}
}

func (r *benchRegion) submit() {
	r.jobs++
	key := fmt.Sprintf("%d/%d", r.runs, r.jobs)
	id := shard.NewJobID(key, benchShards)
	n, _ := shard.ParseJobID(id)
	r.feed(0, int(n), shard.Submit{Token: shard.Token(r.jobs), Job: journal.Job{
		ID: id, Key: key, Team: "routes", Class: "plan", Kind: oleanderline.KindBatch, Count: benchJobTasks,
		Size: oleanderline.Size{CPU: 2000, Memory: 4000}, Command: fmt.Sprintf("sleep %s", benchRunTime),
	}})
}

func (r *benchRegion) starts() int {
	n := 0
	for id := range benchShards {
		n += r.cores[0][id].Counters().Starts
	}
	return n
}

// BenchmarkStarts measures the journal and the decisions at 480 starts per second. The target is at most 100 appends per
// second for all own VMs together. The processor time is that of owners and followers, without the stand-ins.
func BenchmarkStarts(b *testing.B) {
	for b.Loop() {
		const measured = 20 * time.Second
		region := newBenchRegion()
		region.run(5*time.Second, false)
		region.run(20*time.Second, true)
		starts, appends, bytes, cpuTime := region.starts(), region.log.Appends(), region.bytes, region.cpuTime
		region.run(measured, true)
		starts = region.starts() - starts
		seconds := measured.Seconds()
		b.ReportMetric(float64(starts)/seconds, "starts/s")
		b.ReportMetric(float64(region.log.Appends()-appends)/seconds, "appends/s")
		b.ReportMetric(float64(region.bytes-bytes)/float64(starts), "bytes/start")
		b.ReportMetric(float64((region.cpuTime-cpuTime).Microseconds())/float64(starts), "us/start")
	}
}

// BenchmarkTakeOver measures the work of a process without state before it can own a shard: it reads a stream with 9,500
// unfinished tasks in jobs of 8, half of them assigned, as keep records hold them.
func BenchmarkTakeOver(b *testing.B) {
	const tasks = 9500
	clock := common.NewVirtualClock(time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC))
	log := standin.NewLog(clock)
	var list []journal.Record
	for n := range tasks / benchJobTasks {
		job := journal.Job{
			ID: shard.NewJobID(fmt.Sprint(n), 1), Key: fmt.Sprint(n), Team: "routes", Kind: oleanderline.KindBatch,
			Count: benchJobTasks, Size: oleanderline.Size{CPU: 2000, Memory: 4000}, Command: "plan --route",
		}
		record := journal.Record{Kind: journal.KindKeep, Job: &job, Counts: &journal.Counts{}}
		for i := range benchJobTasks {
			kept := journal.TaskState{Index: i}
			if i%2 == 0 {
				kept.Attempt, kept.Worker = 1, oleanderline.WorkerID(fmt.Sprintf("w-%d", n%benchWorkers))
			}
			record.Tasks = append(record.Tasks, kept)
		}
		list = append(list, record)
	}
	for seq := 0; len(list) > 0; seq++ {
		n := min(100, len(list))
		data, err := journal.Group{Writer: "w", Seq: journal.Seq(seq + 1), List: list[:n]}.Encode()
		require.NoError(b, err)
		_, err = log.Append(context.Background(), "s", data)
		require.NoError(b, err)
		list = list[n:]
	}
	var before, after runtime.MemStats
	var core *shard.Core
	for b.Loop() {
		core = shard.New(shard.Config{Self: "own-0", Writer: "own-0", Limits: shard.DefaultLimits()})
		runtime.GC()
		runtime.ReadMemStats(&before)
		begin := time.Now()
		batch, err := log.Read(context.Background(), "s", 1, 1000)
		require.NoError(b, err)
		done := decode(batch)
		done.From = 1
		core.Step(shard.Members{Ranked: []shard.Candidate{{ID: "own-0"}}}, clock.Now())
		core.Step(done, clock.Now())
		b.ReportMetric(float64(time.Since(begin).Milliseconds()), "ms/replay")
		done, batch = shard.ReadDone{}, oleanderline.Batch{}
		runtime.GC()
		runtime.ReadMemStats(&after)
		status := core.Status()
		require.Equal(b, tasks/benchJobTasks*benchJobTasks, status.Waiting+status.Assigned)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/tasks, "bytes/task")
	}
	runtime.KeepAlive(core)
}

// BenchmarkOwnerLoss measures the virtual time from the loss of an owner, with tasks waiting, to the first start by its
// successor. The target is 10 s, including the missed heartbeats.
func BenchmarkOwnerLoss(b *testing.B) {
	const schedules, step, timeout = 100, 50 * time.Millisecond, time.Minute
	for b.Loop() {
		var sum, worst time.Duration
		for seed := range uint64(schedules) {
			sim := newSimulation(seed, shard.Disabled{}, false)
			sim.faultFree = true
			for range 400 {
				sim.step(step)
			}
			lost := sim.ownerOf(0)
			sim.kill(lost, sim.clock.Now().Add(time.Hour))
			since := sim.clock.Now()
			for sim.startsAfter(lost) == 0 && sim.clock.Now().Sub(since) < timeout {
				if sim.ownerOf(0) != nil && len(sim.checker.submits) == 0 {
					sim.submitTo(0)
				}
				sim.step(step)
			}
			took := sim.clock.Now().Sub(since)
			sum, worst = sum+took, max(worst, took)
		}
		b.ReportMetric(sum.Seconds()/schedules, "s/loss")
		b.ReportMetric(worst.Seconds(), "s/worst")
	}
}

func (s *simulation) ownerOf(id int) *process {
	for _, p := range s.processes {
		if p.alive && p.cores[id].Owning() {
			return p
		}
	}
	return nil
}

// startsAfter counts the starts of shard 0 by all other processes.
func (s *simulation) startsAfter(lost *process) int {
	n := 0
	for _, p := range s.processes {
		if p != lost {
			n += p.cores[0].Counters().Starts
		}
	}
	return n
}

// submitTo submits a job that belongs to the given shard.
func (s *simulation) submitTo(id int) {
	for n := 0; ; n++ {
		key := fmt.Sprint(n)
		if shard.ForKey(key, simShards) != oleanderline.ShardID(id) {
			continue
		}
		s.sendJob(journal.Job{
			ID: shard.NewJobID(key, simShards), Key: key, Team: "routes", Kind: oleanderline.KindBatch, Count: 1,
			Command: "sleep 1s", Size: oleanderline.Size{CPU: 1000, Memory: 1000},
		}, key)
		return
	}
}
