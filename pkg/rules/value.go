package rules

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	allowedShare    = "a percentage above 0% and up to 100%, such as 85%"
	allowedCores    = "cores, such as 400, 0.5 or 1500m"
	allowedMemory   = "a number with MB, GB or TB, such as 64GB"
	allowedCount    = "a whole number, such as 12"
	allowedDuration = "a time above 0 with a unit, such as 80ms, 30s or 5m"
	allowedID       = "a name without spaces"
	allowedRate     = "requests a second, such as 200 or 200/s"
	// maxAmount is the largest number allowed: far above any real VM or request rate, but too small to overflow a unit.
	maxAmount = 1e9
)

func (l *line) id(key string) string {
	f := l.take(key)
	if f == nil {
		return ""
	}
	return f.value
}

func (l *line) requireID(key string) string {
	f := l.require(key, allowedID)
	if f == nil {
		return ""
	}
	return f.value
}

// number parses a decimal number in [0, maxAmount]. Forms such as 1e3, 0x10 and inf are not allowed.
func number(s string) (float64, bool) {
	if s == "" || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil && n <= maxAmount
}

// percent parses a percentage above 0% and up to 100%, and returns it as a share.
func percent(s string) (float64, bool) {
	digits, found := strings.CutSuffix(s, "%")
	if n, ok := number(digits); !found || !ok || n <= 0 || n > 100 {
		return 0, false
	}
	// Shifting the decimal point in the text gives 0.999 for 99.9%; a division gives 0.9990000000000001.
	share, err := strconv.ParseFloat(digits+"e-2", 64)
	return share, err == nil
}

func (l *line) badValue(f *field, allowed string) {
	l.addError(f.valueColumn(), allowed, "", "%s=%s is not allowed", f.key, shorten(f.value))
}

func (l *line) cores(key string) oleanderline.Millicores {
	f := l.take(key)
	if f == nil {
		return 0
	}
	digits, milli := strings.CutSuffix(f.value, "m")
	n, ok := number(digits)
	if !milli {
		n *= 1000
	}
	if !ok || n < 1 {
		l.badValue(f, allowedCores)
		return 0
	}
	return oleanderline.Millicores(math.Round(n))
}

func (l *line) memory(key string) oleanderline.Megabytes {
	f := l.take(key)
	if f == nil {
		return 0
	}
	for suffix, factor := range map[string]float64{"MB": 1, "GB": 1e3, "TB": 1e6} {
		digits, found := strings.CutSuffix(f.value, suffix)
		if n, ok := number(digits); found && ok && n*factor >= 1 {
			return oleanderline.Megabytes(math.Round(n * factor))
		}
	}
	l.badValue(f, allowedMemory)
	return 0
}

func (l *line) count(key string) int {
	f := l.take(key)
	if f == nil {
		return 0
	}
	n, err := strconv.Atoi(f.value)
	if err != nil || n <= 0 || n > maxAmount {
		l.badValue(f, allowedCount)
		return 0
	}
	return n
}

func (l *line) duration(f *field) time.Duration {
	if f == nil {
		return 0
	}
	d, err := time.ParseDuration(f.value)
	if err != nil || d <= 0 {
		l.badValue(f, allowedDuration)
		return 0
	}
	return d
}

// choice returns the index of the value in the allowed words. It returns -1 if the rule does not have the key or, with an
// error in the report, if the value is not allowed.
func (l *line) choice(key string, words ...string) int {
	f := l.take(key)
	if f == nil {
		return -1
	}
	for i, word := range words {
		if f.value == word {
			return i
		}
	}
	l.addError(f.valueColumn(), strings.Join(words, ", "), nearest(f.value, words), "%s=%s is not allowed", key,
		shorten(f.value))
	return -1
}
