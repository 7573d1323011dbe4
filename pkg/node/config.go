package node

import (
	"errors"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/follow"
)

// followConfig reads the stream of the operators and applies configurations, maintenance windows and evacuation requests.
func (n *Node) followConfig() {
	follower := follow.New(n.ports.Log, n.ports.Config, maxReadWait)
	reads := outageLogger{common: n.common, stream: "configuration"}
	for n.ctx.Err() == nil {
		begun := n.common.Clock.Now()
		records, snapshot, err := follower.Next(n.ctx)
		if n.ctx.Err() != nil {
			return
		}
		if errors.Is(err, oleanderline.ErrTrimmed) {
			continue
		}
		reads.observe(err)
		if err != nil {
			n.sleep(readRetryDelay)
			continue
		}
		n.applyEvacuations(follower, records, snapshot, begun) // first, because a configuration permits a claim of leadership
		for _, rec := range records {
			switch {
			case len(rec.Value) == 0:
			case rec.Key == n.ports.ConfigKey:
				n.applyConfig(rec)
			case n.ports.Fleet != nil && n.ports.IsWindow(rec.Key):
				n.applyWindow(rec)
			}
		}
	}
}

// applyConfig applies a configuration unless it is malformed or not newer than the current one.
func (n *Node) applyConfig(rec oleanderline.KeyedRecord) {
	config, err := n.ports.DecodeConfig(rec.Value)
	if err != nil {
		n.common.Event(common.EventConfigMalformed).WithField("offset", rec.Offset).WithError(err).Warn("malformed configuration skipped; the last valid one stays in force")
		return
	}
	if old := n.config.Load(); old != nil && old.Version >= config.Version {
		return
	}
	n.config.Store(config)
	if s := n.session.Load(); s != nil {
		s.SetConfig(config)
	}
	n.common.Event(common.EventConfigApplied).WithField("version", config.Version).WithField("queues", len(config.Queues)).
		Info("configuration applied")
}

// applyWindow stores a maintenance window and, on the leader, adds it to the session.
func (n *Node) applyWindow(rec oleanderline.KeyedRecord) {
	window, err := n.ports.DecodeWindow(rec)
	if err != nil {
		n.common.Event(common.EventWindowMalformed).WithField("offset", rec.Offset).WithError(err).Warn("malformed maintenance window skipped")
		return
	}
	n.windows.add(window)
	if s := n.session.Load(); s != nil {
		s.AddWindow(window)
	}
}
