package node

import (
	"errors"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// followConfig applies each newer version of the operators' configuration.
func (n *Node) followConfig() {
	var next oleanderline.Offset
	loaded := false
	reads := reachability{common: n.common, what: "configuration"}
	for n.ctx.Err() == nil {
		var batch oleanderline.KeyedBatch
		var err error
		if loaded {
			batch, err = n.ports.Log.Read(n.ctx, n.ports.Config, next, readWait)
		} else {
			batch, err = n.ports.Log.Newest(n.ctx, n.ports.Config)
		}
		if n.ctx.Err() != nil {
			return
		}
		if errors.Is(err, oleanderline.ErrTrimmed) {
			loaded = false
			continue
		}
		reads.result(err)
		if err != nil {
			n.sleep(readRetry)
			continue
		}
		loaded, next = true, batch.Next
		for _, rec := range batch.Records {
			if rec.Key == n.ports.ConfigKey && len(rec.Value) > 0 {
				n.applyConfig(rec)
			}
		}
	}
}

// applyConfig keeps the last good version: a malformed one is skipped, and an older one never replaces a newer one.
func (n *Node) applyConfig(rec oleanderline.KeyedRecord) {
	config, err := n.ports.DecodeConfig(rec.Value)
	if err != nil {
		n.common.Event(common.EventConfigMalformed).WithField("offset", rec.Offset).WithError(err).Warn("configuration skipped")
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
