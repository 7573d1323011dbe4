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

// The jobs of the demo. firstJobs are running when a worker is drained, secondJobs when an own VM is killed. thirdJobs are
// submitted after the kill.
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

// submitTimeout limits the time until a job is accepted, including all retries.
const submitTimeout = 10 * time.Second

func newJob(key string, team oleanderline.TeamID, count int, cpu oleanderline.Millicores, command string) journal.Job {
	return journal.Job{
		Key: key, Team: team, Count: count, Command: command,
		Size: oleanderline.Size{CPU: cpu, Memory: oleanderline.Megabytes(cpu)},
	}
}

// jobClient submits jobs and reads their status, as a team's tools do.
type jobClient struct {
	balancer *balancer
	client   *http.Client
	pending  sync.WaitGroup

	mu           sync.Mutex
	accepted     map[oleanderline.JobID]int // number of tasks by job
	submitErrors []string
}

func newJobClient(balancer *balancer) *jobClient {
	return &jobClient{
		balancer: balancer, client: &http.Client{Timeout: requestTimeout}, accepted: map[oleanderline.JobID]int{},
	}
}

// submit sends the jobs in the background. A submission that fails is retried with the same idempotency key.
func (j *jobClient) submit(ctx context.Context, list ...journal.Job) {
	for _, job := range list {
		j.pending.Go(func() {
			err := poll(ctx, submitTimeout, func(ctx context.Context) error { return j.submitOnce(ctx, job) })
			if err != nil {
				j.mu.Lock()
				defer j.mu.Unlock()
				j.submitErrors = append(j.submitErrors, fmt.Sprintf("%s: %v", job.Key, err))
			}
		})
	}
}

func (j *jobClient) submitOnce(ctx context.Context, job journal.Job) error {
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

// checkFinished returns an error if a job has unfinished tasks, was not accepted or has no readable status.
func (j *jobClient) checkFinished(ctx context.Context) error {
	j.pending.Wait()
	list, errs := j.states(ctx)
	for _, job := range list {
		if job.Waiting+job.Assigned > 0 {
			return fmt.Errorf("job %s has unfinished tasks", job.ID)
		}
	}
	if len(errs) > 0 {
		return fmt.Errorf("%s", strings.Join(errs, "; "))
	}
	return nil
}

// states returns the status of each accepted job, and the errors of submissions and status queries.
func (j *jobClient) states(ctx context.Context) ([]Job, []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	errs := append([]string(nil), j.submitErrors...)
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

func (j *jobClient) state(ctx context.Context, id oleanderline.JobID) (shard.JobStatus, error) {
	url := j.balancer.pick(1)[0].url + "/jobs/" + string(id)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return shard.JobStatus{}, err
	}
	return j.do(request)
}

func (j *jobClient) do(request *http.Request) (shard.JobStatus, error) {
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

// jobOf returns the job part of a task id.
func jobOf(id oleanderline.TaskID) oleanderline.JobID {
	job, _, _ := strings.Cut(string(id), "/")
	return oleanderline.JobID(job)
}
