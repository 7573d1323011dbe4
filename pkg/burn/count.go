package burn

// Count holds the numbers of good and bad requests.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Total returns the number of good and bad requests together.
func (c Count) Total() uint64 { return c.Good + c.Bad }

// Add returns the sum of two counts.
func (c Count) Add(other Count) Count {
	return Count{Good: c.Good + other.Good, Bad: c.Bad + other.Bad}
}

// BadShare returns the fraction of bad requests, or 0 if there are no requests.
func (c Count) BadShare() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total())
}

// Counts holds one count for each Window.
type Counts [windows]Count

// Add returns the sums for each window.
func (c Counts) Add(other Counts) Counts {
	for i := range c {
		c[i] = c[i].Add(other[i])
	}
	return c
}
