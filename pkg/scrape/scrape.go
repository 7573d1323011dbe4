// Package scrape reads the metrics page of a process.
package scrape

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
)

// Page holds the values of a metrics page, keyed by metric name including its labels.
type Page map[string]float64

// queueResultPattern matches a metric with exactly the labels queue and result.
var queueResultPattern = regexp.MustCompile(`^([a-z_]+)\{queue="([^"]*)",result="([^"]*)"\}$`)

// Fetch reads the metrics page of the process at address, a host:port.
func Fetch(ctx context.Context, address string) (Page, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }() // the body was read, or an error is returned already
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("metrics of %s: status %d", address, response.StatusCode)
	}
	page := Page{}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, text, found := strings.Cut(scanner.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, fmt.Errorf("metrics of %s: %s: %w", address, name, err)
		}
		page[name] = value
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", address, err)
	}
	return page, nil
}

// Results returns the values of a metric with the labels queue and result, keyed by queue and then by result.
func (p Page) Results(metric string) map[string]map[string]float64 {
	results := map[string]map[string]float64{}
	for name, value := range p {
		match := queueResultPattern.FindStringSubmatch(name)
		if match == nil || match[1] != metric {
			continue
		}
		queue, result := match[2], match[3]
		if results[queue] == nil {
			results[queue] = map[string]float64{}
		}
		results[queue][result] += value
	}
	return results
}

// Labels returns the values of the label of a metric with exactly that label, for those whose value is not 0.
func (p Page) Labels(metric, label string) []string {
	var values []string
	for name, value := range p {
		quoted, found := strings.CutPrefix(name, metric+"{"+label+"=")
		if !found || value == 0 {
			continue
		}
		if text, err := strconv.Unquote(strings.TrimSuffix(quoted, "}")); err == nil {
			values = append(values, text)
		}
	}
	return values
}
