package rules

import (
	"strings"
	"sync"
	"time"
	// The VMs on which the daemons run may have no time zone database.
	_ "time/tzdata"
)

const (
	allowedTime = "a time such as 2026-12-06T03:00Z, a local time such as 2026-12-06T03:00 with zone=, " +
		"or a weekday such as Fri/18:00 with both from and until"
	allowedZone = "a time zone such as Europe/Stockholm or UTC"
)

var weekdays = []string{"Sun", "Mon", "Tue", "Wed", "Thu", "Fri", "Sat"}

// window parses at, from, until and zone. The key at is a synonym of from for rules that start once and have no end.
func (l *line) window() Window {
	zone := l.zone()
	start := l.take("from")
	if at := l.take("at"); at != nil {
		if start != nil {
			l.addError(at.column, "at or from, not both", "", "at is given beside from")
		}
		start = at
	}
	end := l.take("until")
	switch {
	case start == nil && end == nil:
		if l.has("zone") {
			l.addError(l.column, "zone with at, from or until", "", "zone is given without a time")
		}
		return Window{}
	case start.weekly() || end.weekly():
		return l.weekly(start, end, zone)
	}
	w := Window{From: l.parseTime(start, zone), Until: l.parseTime(end, zone)}
	if !w.From.IsZero() && !w.Until.IsZero() && !w.From.Before(w.Until) {
		l.addError(end.valueColumn(), "a time after "+start.value, "", "the window ends before it begins")
	}
	return w
}

func (l *line) zone() *time.Location {
	f := l.take("zone")
	if f == nil {
		return nil
	}
	zone, err := loadZone(f.value)
	if err != nil || f.value == "Local" {
		l.badValue(f, allowedZone)
		return time.UTC
	}
	return zone
}

// zones caches the loaded time zones by name, because each load reads the whole zone and returns a new pointer, and
// the comparison of windows compares the pointers. Its size is bounded by the number of existing zones.
var zones sync.Map

func loadZone(name string) (*time.Location, error) {
	if zone, ok := zones.Load(name); ok {
		return zone.(*time.Location), nil
	}
	zone, err := time.LoadLocation(name)
	if err != nil {
		return nil, err
	}
	stored, _ := zones.LoadOrStore(name, zone)
	return stored.(*time.Location), nil
}

func (f *field) weekly() bool {
	return f != nil && strings.Contains(f.value, "/")
}

func (l *line) parseTime(f *field, zone *time.Location) time.Time {
	if f == nil {
		return time.Time{}
	}
	for _, layout := range []string{"2006-01-02T15:04Z07:00", "2006-01-02T15:04:05Z07:00"} {
		if t, err := time.Parse(layout, f.value); err == nil {
			return t.UTC()
		}
	}
	for _, layout := range []string{"2006-01-02T15:04", "2006-01-02T15:04:05"} {
		if zone == nil {
			break
		}
		if t, err := time.ParseInLocation(layout, f.value, zone); err == nil {
			return t.UTC()
		}
	}
	l.badValue(f, allowedTime)
	return time.Time{}
}

func (l *line) weekly(start, end *field, zone *time.Location) Window {
	if start == nil || end == nil {
		l.addError(l.column, "both from and until for a weekly window", "", "a weekly window needs from and until")
		return Window{}
	}
	if zone == nil {
		zone = time.UTC
	}
	w := &Weekly{Zone: zone}
	var ok [2]bool
	w.FromDay, w.FromTime, ok[0] = l.parseWeekTime(start)
	w.UntilDay, w.UntilTime, ok[1] = l.parseWeekTime(end)
	if ok[0] && ok[1] && w.FromDay == w.UntilDay && w.FromTime == w.UntilTime {
		l.addError(end.valueColumn(), "a time other than "+start.value, "", "the weekly window is empty")
	}
	return Window{Weekly: w}
}

// parseWeekTime parses a value such as Fri/18:00. 24:00 is the end of the day.
func (l *line) parseWeekTime(f *field) (time.Weekday, time.Duration, bool) {
	name, clock, _ := strings.Cut(f.value, "/")
	weekday := -1
	for i, known := range weekdays {
		if strings.EqualFold(known, name) {
			weekday = i
		}
	}
	if weekday < 0 {
		l.addError(f.valueColumn(), allowedTime, nearest(name, weekdays), "%q is not a weekday", shorten(name))
		return 0, 0, false
	}
	if clock == "24:00" {
		return time.Weekday((weekday + 1) % len(weekdays)), 0, true
	}
	t, err := time.Parse("15:04", clock)
	if err != nil || len(clock) != len("15:04") {
		l.badValue(f, allowedTime)
		return 0, 0, false
	}
	return time.Weekday(weekday), time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute, true
}
