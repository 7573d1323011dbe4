//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// step is a step of a job, as clients send it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"memMb"`
	EstimateMS   int    `json:"estDurationMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	MayMiss      int    `json:"mayMiss,omitempty"`
}

// job is a job as clients send it.
type job struct {
	ID    string `json:"-"`
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// request sends one request of a client to a node. The status is 0 if there was no answer.
func (c *cell) request(n *node, method, path string, body any) (status int, answer string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // a plain struct
	}
	req, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Oleanderline-Deadline-Ms", "3000")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(bytes.TrimSpace(text))
}

// nextNode returns the nodes in turn.
func (c *cell) nextNode() *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clients++
	return c.nodes[c.clients%len(c.nodes)]
}

// submit hands in a job. It tries again at another node if there was no answer, or after a second if the job was refused.
func (c *cell) submit(j job) error {
	c.mu.Lock()
	c.jobs[j.ID] = j
	c.mu.Unlock()
	for range 6 {
		n := c.nextNode()
		status, answer := c.request(n, http.MethodPost, prefix+j.ID, j)
		c.journal.note("POST %s at %s: %d %s", j.ID, n.name, status, answer)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("job %s was not accepted", j.ID)
}

// job returns a job that a client has handed in.
func (c *cell) job(id string) (job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[id]
	return j, ok
}
