package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/shard"
	"github.com/oleanderline/oleanderline/pkg/submit"
)

// The jobs of the demo. The first ones are running when a VM is drained, the second ones when an own VM is killed.
var (
	firstJobs = []journal.Job{
		newJob("routes-1", "routes", 16, 2000, "sleep 2s"),
		newJob("reconcile-1", "reconcile", 12, 1000, "sleep 1s"),
		newJob("routes-long-1", "routes", 8, 4000, "sleep 8s"),
		newJob("routes-long-2", "routes", 8, 4000, "sleep 8s"),
		newJob("routes-long-3", "routes", 8, 4000, "sleep 8s"),
		newJob("routes-long-4", "routes", 8, 4000, "sleep 8s"),
	}
	secondJobs = []journal.Job{
		newJob("reconcile-2", "reconcile", 12, 1000, "sleep 4s"),
		newJob("reconcile-3", "reconcile", 12, 1000, "sleep 4s"),
		newJob("reconcile-4", "reconcile", 12, 1000, "sleep 4s"),
	}
	thirdJobs = []journal.Job{
		newJob("reconcile-5", "reconcile", 6, 1000, "sleep 1s"),
		newJob("reconcile-6", "reconcile", 6, 1000, "sleep 1s"),
		newJob("reconcile-7", "reconcile", 6, 1000, "sleep 1s"),
	}
)

// submitLimit bounds the time until a job is accepted, with all repetitions.
const submitLimit = 10 * time.Second

func newJob(key string, team oleanderline.TeamID, count int, cpu oleanderline.Millicores, command string) journal.Job {
	return journal.Job{
		Key: key, Team: team, Count: count, Command: command,
		Size: oleanderline.Size{CPU: cpu, Memory: oleanderline.Megabytes(cpu)},
	}
}

// jobs submits jobs and watches them, as a team's tools do.
type jobs struct {
	balancer *balancer
	client   *http.Client
	pending  sync.WaitGroup

	mu       sync.Mutex
	accepted map[oleanderline.JobID]int // number of tasks
	refused  []string
}

func newJobs(balancer *balancer) *jobs {
	return &jobs{
		balancer: balancer, client: &http.Client{Timeout: maxWait}, accepted: map[oleanderline.JobID]int{},
	}
}

// submit sends the jobs in the background. A job without a sure answer is sent again with the same key.
func (j *jobs) submit(ctx context.Context, list ...journal.Job) {
	for _, job := range list {
		j.pending.Go(func() {
			err := until(ctx, submitLimit, func(ctx context.Context) error { return j.submitOnce(ctx, job) })
			if err != nil {
				j.mu.Lock()
				defer j.mu.Unlock()
				j.refused = append(j.refused, fmt.Sprintf("%s: %v", job.Key, err))
			}
		})
	}
}

func (j *jobs) submitOnce(ctx context.Context, job journal.Job) error {
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	url := j.balancer.pick(1)[0].url + "/jobs"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set(submit.HeaderKey, job.Key)
	status, err := j.do(request)
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.accepted[status.ID] = job.Count
	return nil
}

// finished returns an error while a task is left.
func (j *jobs) finished(ctx context.Context) error {
	j.pending.Wait()
	list, errs := j.states(ctx)
	for _, job := range list {
		if job.Waiting+job.Assigned > 0 {
			return fmt.Errorf("%s is not finished", job.ID)
		}
	}
	if len(errs) > 0 {
		return fmt.Errorf("%s", strings.Join(errs, "; "))
	}
	return nil
}

// states returns what the schedulers say about each accepted job, and what went wrong.
func (j *jobs) states(ctx context.Context) ([]Job, []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	errs := append([]string(nil), j.refused...)
	var list []Job
	for id, count := range j.accepted {
		status, err := j.state(ctx, id)
		if err != nil {
			errs = append(errs, fmt.Sprintf("%s: %v", id, err))
			continue
		}
		list = append(list, Job{
			ID: id, Tasks: count, Done: status.Done, Failed: status.Failed + status.Cancelled, Waiting: status.Waiting,
			Assigned: status.Assigned,
		})
	}
	return list, errs
}

func (j *jobs) state(ctx context.Context, id oleanderline.JobID) (shard.JobStatus, error) {
	url := j.balancer.pick(1)[0].url + "/jobs/" + string(id)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return shard.JobStatus{}, err
	}
	return j.do(request)
}

func (j *jobs) do(request *http.Request) (shard.JobStatus, error) {
	response, err := j.client.Do(request)
	if err != nil {
		return shard.JobStatus{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		shard.JobStatus

		Error string `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return shard.JobStatus{}, err
	}
	if response.StatusCode/100 != 2 {
		return shard.JobStatus{}, fmt.Errorf("%s: %s", response.Status, answer.Error)
	}
	return answer.JobStatus, nil
}

// jobOf returns the job of a task.
func jobOf(id oleanderline.TaskID) oleanderline.JobID {
	job, _, _ := strings.Cut(string(id), "/")
	return oleanderline.JobID(job)
}
