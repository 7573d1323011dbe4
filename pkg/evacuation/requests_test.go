package evacuation

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
)

var start = time.Unix(1000, 0)

// step is a reading of the stream: a complete list, or records that follow.
type step struct {
	list    map[oleanderline.DomainID]oleanderline.Offset // nil for records
	records []Record
	end     oleanderline.Offset
}

func (r *Requests) take(s step, now time.Time) []Change {
	if s.list != nil {
		return r.Replace(Snapshot{Out: s.list, Next: s.end}, now)
	}
	return r.Apply(s.records, s.end, now)
}

// Guards against a request that is missed, lasts after it was taken back, or is taken back by something older than the request.
func TestRequests(t *testing.T) {
	type list = map[oleanderline.DomainID]oleanderline.Offset
	type scenario struct {
		name  string
		steps []step
		want  []oleanderline.DomainID
	}
	for _, s := range []scenario{
		{"none", []step{{list: list{}, end: 3}}, nil},
		{"read at the start", []step{{list: list{"a": 2}, end: 3}}, []oleanderline.DomainID{"a"}},
		{"made later", []step{{list: list{}, end: 3}, {records: []Record{{Domain: "a", Offset: 3}}, end: 4}}, []oleanderline.DomainID{"a"}},
		{"two domains", []step{{list: list{"b": 1}, end: 3}, {records: []Record{{Domain: "a", Offset: 3}}, end: 4}}, []oleanderline.DomainID{"a", "b"}},
		{"taken back", []step{{list: list{"a": 2}, end: 3}, {records: []Record{{Domain: "a", Offset: 3, Removed: true}}, end: 4}}, nil},
		{"one of two taken back", []step{{list: list{"a": 1, "b": 2}, end: 3}, {records: []Record{{Domain: "a", Offset: 3, Removed: true}}, end: 4}}, []oleanderline.DomainID{"b"}},
		{"removed and made again in one read", []step{{list: list{"a": 2}, end: 3}, {records: []Record{{Domain: "a", Offset: 3, Removed: true}, {Domain: "a", Offset: 4}}, end: 5}}, []oleanderline.DomainID{"a"}},
		{"made and removed in one read", []step{{list: list{}, end: 3}, {records: []Record{{Domain: "a", Offset: 3}, {Domain: "a", Offset: 4, Removed: true}}, end: 5}}, nil},
		{"missing from the newest records after the history was removed", []step{{list: list{"a": 2}, end: 3}, {list: list{}, end: 9}}, nil},
		{"made while the history was removed", []step{{list: list{}, end: 3}, {list: list{"a": 7}, end: 9}}, []oleanderline.DomainID{"a"}},
		{"an older list of a peer", []step{{list: list{"a": 4}, end: 5}, {list: list{}, end: 3}}, []oleanderline.DomainID{"a"}},
		{"own reading behind that of a peer", []step{{list: list{}, end: 3}, {list: list{}, end: 9}, {records: []Record{{Domain: "a", Offset: 4}}, end: 5}}, nil},
		{"own reading reaches that of a peer", []step{{list: list{}, end: 3}, {list: list{"a": 4}, end: 9}, {records: []Record{{Domain: "a", Offset: 4}, {Domain: "a", Offset: 9, Removed: true}}, end: 10}}, nil},
		{"page later than the end of the list", []step{{list: list{"a": 8}, end: 5}, {records: []Record{{Domain: "a", Offset: 6, Removed: true}}, end: 7}}, []oleanderline.DomainID{"a"}},
		{"a list that lacks a later page", []step{{list: list{"a": 8}, end: 5}, {list: list{}, end: 6}}, []oleanderline.DomainID{"a"}},
	} {
		t.Run(s.name, func(t *testing.T) {
			var r Requests
			for i, next := range s.steps {
				r.take(next, start.Add(time.Duration(i)*time.Second))
			}
			require.Equal(t, s.want, r.View().Domains())
			for _, domain := range []oleanderline.DomainID{"a", "b"} {
				require.Equal(t, !slices.Contains(s.want, domain), r.View().InService(domain))
			}
		})
	}
}

// Guards against starts by a process that has read nothing yet, for example after a restart, and against a list that counts as complete
// before.
func TestNothingIsInServiceBeforeTheFirstReading(t *testing.T) {
	var r Requests
	r.Prove(start)
	require.False(t, r.View().InService("a"))
	require.Zero(t, r.ProvenAt())
	require.Zero(t, r.View().Snapshot())
	r.Replace(Snapshot{Next: 1}, start)
	r.Prove(start)
	r.Prove(start.Add(-time.Second))
	require.True(t, r.View().InService("a"))
	require.Equal(t, start, r.ProvenAt())
}

// Guards against changes that operators are not told of, and against a domain that counts as just returned although it never was out of
// service, or is again.
func TestChanges(t *testing.T) {
	var r Requests
	out := map[oleanderline.DomainID]oleanderline.Offset{"a": 0}
	require.Equal(t, []Change{{Domain: "a", Out: true}}, r.Replace(Snapshot{Out: out, Next: 1}, start))
	require.Empty(t, r.Replace(Snapshot{Out: out, Next: 1}, start))
	require.Equal(t, []Change{{Domain: "a"}}, r.Apply([]Record{{Domain: "a", Offset: 1, Removed: true}}, 2, start.Add(time.Second)))
	require.Equal(t, start.Add(time.Second), r.View().ReturnedAt("a"))
	require.Zero(t, r.View().ReturnedAt("b"))
	require.Empty(t, r.Apply(nil, 3, start.Add(2*time.Second)))
	require.Equal(t, start.Add(time.Second), r.View().ReturnedAt("a"))
	require.Equal(t, []Change{{Domain: "a", Out: true}}, r.Apply([]Record{{Domain: "a", Offset: 3}}, 4, start.Add(3*time.Second)))
	require.Zero(t, r.View().ReturnedAt("a"))
}

// Guards against an order of readings, own or of peers, in which a process ends up with another list than the stream has.
func TestReadingsInAnyOrderAgreeWithTheStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []oleanderline.DomainID{"a", "b", "c"}
		var stream []Record
		for i := range rapid.IntRange(0, 20).Draw(t, "records") {
			stream = append(stream, Record{
				Domain: rapid.SampledFrom(domains).Draw(t, "domain"), Offset: oleanderline.Offset(i), Removed: rapid.Bool().Draw(t, "removed"),
			})
		}
		at := func(end int) map[oleanderline.DomainID]oleanderline.Offset {
			list := map[oleanderline.DomainID]oleanderline.Offset{}
			for _, rec := range stream[:end] {
				delete(list, rec.Domain)
				if !rec.Removed {
					list[rec.Domain] = rec.Offset
				}
			}
			return list
		}
		var r Requests
		position, seen := rapid.IntRange(0, len(stream)).Draw(t, "first"), 0
		r.Replace(Snapshot{Out: at(position), Next: oleanderline.Offset(position)}, start)
		seen = position
		for range rapid.IntRange(0, 8).Draw(t, "readings") {
			if rapid.Bool().Draw(t, "peer") {
				end := rapid.IntRange(0, len(stream)).Draw(t, "end")
				r.Replace(Snapshot{Out: at(end), Next: oleanderline.Offset(end)}, start)
				seen = max(seen, end)
			} else {
				end := rapid.IntRange(position, len(stream)).Draw(t, "end")
				r.Apply(stream[position:end], oleanderline.Offset(end), start)
				position, seen = end, max(seen, end)
			}
			require.Equal(t, slices.Sorted(maps.Keys(at(seen))), r.View().Domains())
		}
	})
}
