package platform

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/oleanderline/oleanderline"
)

// Status codes by which the platform tells refusals apart. All of them mean that the operation did not take effect.
const (
	StatusFenced      = http.StatusConflict
	StatusCapacity    = http.StatusInsufficientStorage
	StatusUnavailable = http.StatusServiceUnavailable
)

// StatusOf returns the status code for an error of an operation. ErrUncertain has none, because its answer is lost.
func StatusOf(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, oleanderline.ErrFenced):
		return StatusFenced
	case errors.Is(err, oleanderline.ErrCapacity):
		return StatusCapacity
	case errors.Is(err, oleanderline.ErrUnavailable):
		return StatusUnavailable
	default:
		return http.StatusBadRequest
	}
}

// errorOf is the reverse of StatusOf. A server error other than the agreed ones may come from an intermediary or from a
// failure half-way, so that it proves nothing.
func errorOf(status int, message string) error {
	switch {
	case status == StatusFenced:
		return fmt.Errorf("%w: %s", oleanderline.ErrFenced, message)
	case status == StatusCapacity:
		return fmt.Errorf("%w: %s", oleanderline.ErrCapacity, message)
	case status == StatusUnavailable, status >= 400 && status < 500:
		return fmt.Errorf("%w: status %d: %s", oleanderline.ErrUnavailable, status, message)
	default:
		return fmt.Errorf("%w: status %d: %s", oleanderline.ErrUncertain, status, message)
	}
}
