package rules

import "time"

// Window is the time in which a rule is active: always, once, or every week. The zero value means always.
type Window struct {
	From   time.Time // zero means no start
	Until  time.Time // zero means no end
	Weekly *Weekly
}

// Weekly is a window that recurs every week in a time zone.
type Weekly struct {
	FromDay, UntilDay   time.Weekday
	FromTime, UntilTime time.Duration // since local midnight
	Zone                *time.Location
}

const day = 24 * time.Hour

// Active reports whether the rule is active at now.
func (w Window) Active(now time.Time) bool {
	if !w.From.IsZero() && now.Before(w.From) {
		return false
	}
	if !w.Until.IsZero() && !now.Before(w.Until) {
		return false
	}
	return w.Weekly == nil || w.Weekly.active(now)
}

func (w *Weekly) active(now time.Time) bool {
	local := now.In(w.Zone)
	clock := time.Duration(local.Hour())*time.Hour + time.Duration(local.Minute())*time.Minute +
		time.Duration(local.Second())*time.Second
	at := time.Duration(local.Weekday())*day + clock
	from := time.Duration(w.FromDay)*day + w.FromTime
	until := time.Duration(w.UntilDay)*day + w.UntilTime
	if from <= until {
		return at >= from && at < until
	}
	return at >= from || at < until
}

// includes reports whether other is active only while w is. It is conservative: it returns false where the answer would
// need a calendar computation.
func (w Window) includes(other Window) bool {
	if w.Weekly != nil {
		return other.Weekly != nil && *w.Weekly == *other.Weekly
	}
	starts := w.From.IsZero() || (!other.From.IsZero() && !other.From.Before(w.From))
	ends := w.Until.IsZero() || (!other.Until.IsZero() && !other.Until.After(w.Until))
	return starts && ends
}
