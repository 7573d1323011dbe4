package platform

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/oleanderline/oleanderline"
)

// Status codes with which the platform refuses an operation. Each means that the operation did not take effect.
const (
	StatusFenced      = http.StatusConflict
	StatusCapacity    = http.StatusInsufficientStorage
	StatusUnavailable = http.StatusServiceUnavailable
)

// StatusOf returns the status code for the error of an operation. There is none for ErrUncertain, because that error means
// that no answer arrived.
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

// errorOf is the inverse of StatusOf. Any other server error becomes ErrUncertain: it may come from an intermediary or from a
// failure during the operation, so the operation may have taken effect.
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
