package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/bodygate"
	"github.com/oleanderline/oleanderline/pkg/bodyreader"
	"github.com/oleanderline/oleanderline/pkg/clientlimits"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/connlimit"
	"github.com/oleanderline/oleanderline/platform"
)

const (
	// maxHeaderBytes limits the header of a request. Clients send a few hundred bytes.
	maxHeaderBytes = 16 << 10
	// bodyGrace is the time for which a large body is not evicted. Bodies of the largest size arrive in less.
	bodyGrace = time.Second
	// noEviction is a grace period that does not end before the request does: jobs that are being stored are not interrupted.
	noEviction = time.Hour
	// largestBodyShare is the share of the memory for bodies that one body may use if the configuration has no limit.
	largestBodyShare = 0.25
)

// clients bounds what clients take up in this process.
type clients struct {
	opts     options
	listener *connlimit.Listener // nil until the process listens
	bodies   *bodygate.Gate
	decoding platform.Decoding
	reader   *bodyreader.Reader
}

func newClients(c *common.Common, opts options, settings *platform.Settings) *clients {
	limits := clientLimits(opts, settings)
	clock := common.NewSystemClock()
	cl := &clients{
		opts:   opts,
		bodies: bodygate.New(clock, limits.Bodies, bodyGrace),
		decoding: platform.Decoding{
			Small: bodygate.New(clock, limits.SmallJobs, noEviction), Large: bodygate.New(clock, limits.LargeJobs, noEviction),
		},
	}
	c.Metrics.GetOrCreateGauge("oleander_submissions_bytes", func() float64 { // estimated memory of the jobs that are being decoded and stored
		return float64(cl.decoding.Small.Used() + cl.decoding.Large.Used())
	})
	cl.reader = bodyreader.New(c, cl.bodies, oleanderline.ByteCount(largestBodyShare*float64(limits.Bodies)))
	return cl
}

// clientLimits returns the limits that follow from the settings file, unless options replace them.
func clientLimits(opts options, settings *platform.Settings) clientlimits.Limits {
	limits := clientlimits.For(settings.Limits, oleanderline.ByteCount(settings.MemoryMB)*megabyte)
	if opts.Connections > 0 {
		limits.Connections = opts.Connections
	}
	if opts.BodyMemory > 0 {
		limits.Bodies = oleanderline.ByteCount(opts.BodyMemory) * megabyte
	}
	return limits
}

// apply applies the settings that a running process can change.
func (cl *clients) apply(settings *platform.Settings) {
	limits := clientLimits(cl.opts, settings)
	cl.bodies.SetTotal(limits.Bodies)
	cl.decoding.Small.SetTotal(limits.SmallJobs)
	cl.decoding.Large.SetTotal(limits.LargeJobs)
	if cl.listener != nil {
		cl.listener.SetLimits(limits.Connections, limits.Headers)
	}
}

// listen limits the connections of a listener for clients, and adapts the server that uses it.
func (cl *clients) listen(c *common.Common, settings *platform.Settings, inner net.Listener, server *http.Server) (net.Listener, error) {
	tcp, ok := inner.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listener %s is not a TCP listener", inner.Addr())
	}
	cl.listener = connlimit.New(c, common.NewSystemClock(), tcp)
	cl.apply(settings)
	server.ConnState, server.ConnContext = cl.listener.ConnState, cl.listener.ConnContext
	return cl.listener, nil
}
