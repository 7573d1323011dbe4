package burn

import (
	"cmp"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Snapshot holds the counts of one entry, or the sum over several entries.
type Snapshot struct {
	Time     time.Time `json:"time"`
	Services []Service `json:"services"`
}

// Service holds the counts of a service that has an slo rule.
type Service struct {
	Service   oleanderline.ServiceID `json:"service"`
	Objective Objective              `json:"objective"`
	Counts    Counts                 `json:"counts"`
	Recent    []Count                `json:"recent"` // 72 buckets of 5 min, oldest first; nil without requests
	Parts     []Part                 `json:"parts"`
}

// Part holds the counts of one class, minion or failure domain of a service.
type Part struct {
	Dimension Dimension `json:"by"`
	Name      string    `json:"name"`
	Counts    Counts    `json:"counts"`
}

func byName(a, b Part) int {
	return cmp.Or(cmp.Compare(a.Dimension, b.Dimension), cmp.Compare(a.Name, b.Name))
}
