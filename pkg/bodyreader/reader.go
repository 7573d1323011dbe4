// Package bodyreader reads request bodies into memory, within a budget for all of them, and ends those that make no progress.
package bodyreader

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/bodygate"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/connlimit"
)

const (
	// smallBody is the size up to which a body is received outside of the budget. Each connection has one request at a time, so the
	// limit on connections bounds the sum. It holds a job with a spec of 4,000 bytes and tens of steps.
	smallBody = 8 << 10
	// grace is how long a body may arrive more slowly than minRate. It is longer than most clients wait for an answer, and than the
	// outages of a connection after which a client could still be answered in time.
	grace = 10 * time.Second
	// minRate is the minimum rate of a body after the grace period, in bytes per second. Clients are milliseconds away.
	minRate = 1 << 10
	// largeWindow is the size of the receive buffer for bodies that the budget has admitted. It lets a body of 256 KiB arrive within
	// half a second over a connection with a round-trip time of 100 ms.
	largeWindow = 64 << 10
)

// Errors of Read. All others are errors of the request.
var (
	ErrTooSlow  = errors.New("the body arrives too slowly")
	ErrTooLarge = errors.New("the body is too large")
)

// Reader reads the bodies of requests.
type Reader struct {
	common  *common.Common
	gate    *bodygate.Gate
	largest int64
	tooSlow *metrics.Counter
	refused *metrics.Counter
	logged  common.LogInterval
	dropped atomic.Int64 // bodies refused since the last log line
}

// New returns a Reader that allocates memory for large bodies from gate. largest is the limit on a body for which Read has no limit.
func New(c *common.Common, gate *bodygate.Gate, largest oleanderline.ByteCount) *Reader {
	c.Metrics.GetOrCreateGauge("oleander_bodies_bytes", func() float64 { return float64(gate.Used()) }) // memory allocated to large bodies that are being received
	return &Reader{
		common: c, gate: gate, largest: int64(largest),
		tooSlow: c.Metrics.GetOrCreateCounter("oleander_bodies_slow_total"),    // bodies that were ended because they made too little progress
		refused: c.Metrics.GetOrCreateCounter("oleander_bodies_refused_total"), // requests that were refused or ended because the memory for bodies or for jobs was used up
	}
}

// Body is a body in memory.
type Body struct {
	Data  []byte
	grant *bodygate.Grant // nil for small bodies
}

// Release gives the memory of the body back. Data must not be used afterwards.
func (b *Body) Release() {
	b.Data = nil
	if b.grant != nil {
		b.grant.Release()
	}
}

// Read reads the body of a request, which has to be complete within timeout. It fails with ErrTooLarge for a body above limit bytes (0
// selects the default), with ErrTooSlow for one that makes too little progress, and with bodygate.ErrFull if the memory for bodies is
// used up. After these errors nothing more of the body is read, and the connection is closed after the answer.
func (rd *Reader) Read(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) (*Body, error) {
	if r.ContentLength == 0 {
		return &Body{}, nil
	}
	if limit <= 0 {
		limit = rd.largest
	}
	connlimit.SetReceiving(r.Context())
	defer connlimit.SetWorking(r.Context())
	in := newStream(w, r, timeout)
	body, err := rd.read(in, limit)
	if err != nil {
		in.abandon()
		return nil, rd.Refuse(err)
	}
	in.end()
	return body, nil
}

func (rd *Reader) read(in *stream, limit int64) (*Body, error) {
	length := in.request.ContentLength
	if length > limit {
		return nil, ErrTooLarge
	}
	if length < 0 {
		length = limit
	}
	head := make([]byte, min(length, smallBody)+1)
	n, ended, err := fill(in, head)
	if err != nil {
		return nil, err
	}
	if ended {
		return &Body{Data: head[:n]}, nil
	}
	if length <= smallBody {
		return nil, ErrTooLarge
	}
	return rd.readLarge(in, head, length)
}

// readLarge reads a body of at most length bytes that begins with head.
func (rd *Reader) readLarge(in *stream, head []byte, length int64) (*Body, error) {
	ctx, cancel := context.WithDeadline(in.request.Context(), in.deadline)
	defer cancel()
	grant, err := rd.gate.Acquire(ctx, oleanderline.ByteCount(length), in.evict)
	if err != nil {
		return nil, err
	}
	connlimit.SetReadBuffer(in.request.Context(), largeWindow)
	data := make([]byte, length+1)
	n := copy(data, head)
	rest, ended, err := fill(in, data[n:])
	switch {
	case err != nil:
	case !ended:
		err = ErrTooLarge
	case !grant.Complete():
		err = bodygate.ErrFull
	}
	if err != nil {
		grant.Release()
		return nil, err
	}
	return &Body{Data: data[:n+rest], grant: grant}, nil
}

// fill reads until the end of the body or of buffer. In contrast to io.ReadFull, it tells a body that has ended from one that was cut
// off.
func fill(in io.Reader, buffer []byte) (n int, ended bool, err error) {
	for n < len(buffer) {
		count, err := in.Read(buffer[n:])
		n += count
		if err == io.EOF {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

// Refuse counts and logs a request that is refused for lack of memory or of progress, and returns its error. An exceeded deadline is replaced
// by ErrTooSlow, and other errors are only returned.
func (rd *Reader) Refuse(err error) error {
	switch {
	case errors.Is(err, bodygate.ErrFull):
		rd.refused.Inc()
	case errors.Is(err, os.ErrDeadlineExceeded):
		rd.tooSlow.Inc()
		err = ErrTooSlow
	default:
		return err
	}
	refused := rd.dropped.Add(1)
	if rd.logged.Allow(time.Now()) {
		rd.dropped.Add(-refused)
		rd.common.Event(common.EventBodyRefused).WithField("refused", refused).WithError(err).Warn("bodies of requests were refused or ended")
	}
	return err
}
