package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Alert is the urgency with which the use of an error budget needs attention.
type Alert string

// Alerts. At the burn rates in thresholds, 2% of a 30-day budget is used up in 1 h, 5% in 6 h and 10% in 3 d.
const (
	AlertNone   Alert = ""
	AlertPage   Alert = "page"   // an operator must act now
	AlertTicket Alert = "ticket" // an operator must act within days
)

// thresholds lists the burn rates that raise an alert when both windows of a pair reach them.
var thresholds = [...]struct {
	long, short Window
	rate        float64
	alert       Alert
}{
	{Window1h, Window5m, 14.4, AlertPage},
	{Window6h, Window30m, 6, AlertPage},
	{Window3d, Window6h3d, 1, AlertTicket},
}

// Report describes how fast each service uses its error budget.
type Report struct {
	Time     time.Time       `json:"time"`
	Services []ServiceReport `json:"services"`
	Missing  []string        `json:"missing"` // entries that could not be read, with the reason
}

// ServiceReport is the report of one service.
type ServiceReport struct {
	Service   oleanderline.ServiceID `json:"service"`
	Objective Objective              `json:"objective"`
	Left      float64                `json:"left"`  // fraction of the error budget of the last 3 d that remains; negative if overspent
	Rates     []Rate                 `json:"rates"` // one for each window
	Alert     Alert                  `json:"alert"`
	// Sources are the parts with the most bad requests in the last hour, or in 3 d if there were none in the last hour. They are
	// grouped by dimension, with the highest share first.
	Sources []Source `json:"sources"`
	Recent  []Count  `json:"recent"`
}

// Rate is the burn rate over one window. A rate of 1 uses exactly the error budget.
type Rate struct {
	Window string  `json:"window"`
	Rate   float64 `json:"rate"`
	Count  Count   `json:"count"`
}

// Source is a part of a service that had bad requests.
type Source struct {
	Dimension Dimension `json:"by"`
	Name      string    `json:"name"`
	Share     float64   `json:"share"` // fraction of the service's bad requests
	BadShare  float64   `json:"bad"`   // fraction of the part's requests that were bad
}

// maxSources limits the number of sources listed for each dimension.
const maxSources = 5

// NewReport computes the report of a snapshot. Missing lists the entries that the snapshot does not include.
func NewReport(s Snapshot, missing []string) Report {
	report := Report{Time: s.Time, Missing: missing}
	for _, service := range s.Services {
		report.Services = append(report.Services, newServiceReport(service))
	}
	return report
}

func newServiceReport(s Service) ServiceReport {
	r := ServiceReport{Service: s.Service, Objective: s.Objective, Recent: s.Recent}
	budget := 1 - s.Objective.Target
	for w := range windows {
		r.Rates = append(r.Rates, Rate{Window: w.String(), Rate: s.Counts[w].BadShare() / budget, Count: s.Counts[w]})
	}
	r.Left = 1 - r.Rates[Window3d].Rate
	for _, t := range slices.Backward(thresholds[:]) {
		if r.Rates[t.long].Rate >= t.rate && r.Rates[t.short].Rate >= t.rate {
			r.Alert = t.alert
		}
	}
	r.Sources = sources(s)
	return r
}

// sources returns the parts with the most bad requests of each dimension.
func sources(s Service) []Source {
	window := Window1h
	if s.Counts[window].Bad == 0 {
		window = Window3d
	}
	bad := s.Counts[window].Bad
	var all []Source
	for _, dimension := range []Dimension{ByDomain, ByMinion, ByClass} {
		var found []Source
		for _, p := range s.Parts {
			if c := p.Counts[window]; p.Dimension == dimension && c.Bad > 0 && bad > 0 {
				found = append(found, Source{dimension, p.Name, float64(c.Bad) / float64(bad), c.BadShare()})
			}
		}
		slices.SortStableFunc(found, func(a, b Source) int { return cmp.Compare(b.Share, a.Share) })
		all = append(all, found[:min(len(found), maxSources)]...)
	}
	return all
}
