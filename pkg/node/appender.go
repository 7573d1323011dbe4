package node

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/capacity"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/groupcommit"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/relay"
	"github.com/oleanderline/oleanderline/pkg/replica"
)

// maxStoreAttempts is how many processes, this one included, try to store a record.
const maxStoreAttempts = 4

// storeByPolicy stores a record: directly, or through an appender while the log answers slowly, takes many records or refuses this process.
// It returns ErrUncertain if any of the attempts may have stored the record.
func (n *Node) storeByPolicy(ctx context.Context, rec oleanderline.KeyedRecord) error {
	if n.settings.OwnAppends {
		return n.storeOrRelay(ctx, rec)
	}
	uncertain := false
	tried := map[oleanderline.VMID]bool{}
	for len(tried) < maxStoreAttempts {
		vm, address, ok := n.chooseAppender(tried)
		if !ok {
			break
		}
		tried[vm] = true
		err := n.appendAt(ctx, vm, address, rec)
		if err == nil {
			return nil
		}
		uncertain = uncertain || errors.Is(err, oleanderline.ErrUncertain)
		if errors.Is(err, relay.ErrNotInTime) || ctx.Err() != nil {
			return certainty(err, uncertain)
		}
	}
	return certainty(n.storeInTurn(ctx, rec, tried), uncertain)
}

// storeInTurn stores a record that no appender has stored, unless this process has tried that or, at a slow log, it is not its turn.
func (n *Node) storeInTurn(ctx context.Context, rec oleanderline.KeyedRecord, tried map[oleanderline.VMID]bool) error {
	if tried[n.settings.VM] {
		return oleanderline.ErrUnavailable
	}
	now := n.common.Clock.Now()
	if n.policy.CertainlySlow(now) && !n.policy.MayAppend(len(n.replica.Nodes()), now) {
		return relay.ErrNotInTime
	}
	return n.batcher.store(ctx, rec)
}

// certainty returns the error of a record that was not stored for certain, or may have been stored by one of several attempts.
func certainty(err error, uncertain bool) error {
	if err != nil && uncertain {
		return oleanderline.ErrUncertain
	}
	return err
}

// storeOrRelay stores a record directly or, if that fails, through a peer. If both fail, it returns ErrUncertain if either attempt
// may have stored the record.
func (n *Node) storeOrRelay(ctx context.Context, rec oleanderline.KeyedRecord) error {
	err := n.batcher.store(ctx, rec)
	if err == nil || ctx.Err() != nil {
		return err
	}
	n.metrics.relayed.Inc()
	return certainty(n.relay.Store(ctx, rec), errors.Is(err, oleanderline.ErrUncertain))
}

// chooseAppender returns the process that is to store a record next: this one while the log is fast, otherwise the first candidate that
// has not been tried for the record. It returns false if there is none.
func (n *Node) chooseAppender(tried map[oleanderline.VMID]bool) (vm oleanderline.VMID, address string, ok bool) {
	now, self := n.common.Clock.Now(), n.settings.VM
	slow := n.policy.Slow(now)
	if !tried[self] && !slow {
		n.logSharing(false, self)
		return self, "", true
	}
	nodes := n.replica.Nodes()
	limits := n.appenderLimits(nodes, tried)
	if len(limits) == 0 && len(tried) == 0 {
		return self, "", true // there is nobody to share appends with
	}
	vm, ok = n.policy.Choose(groupcommit.Candidates(n.replica.Leader().VM, limits), now)
	n.logSharing(slow, vm)
	return vm, nodes[vm].Address, ok
}

// appenderLimits returns the capacity of the nodes that other processes reach and that have not been tried, without a leader that has
// resigned.
func (n *Node) appenderLimits(nodes map[oleanderline.VMID]record.Node, tried map[oleanderline.VMID]bool) map[oleanderline.VMID]capacity.VM {
	leader := n.replica.Leader()
	limits := make(map[oleanderline.VMID]capacity.VM, len(nodes))
	for id, node := range nodes {
		resigned := id == leader.VM && leader.Resigned
		if node.Address != "" && !tried[id] && !resigned {
			limits[id] = node.VM
		}
	}
	return limits
}

// logSharing logs when this process begins or ends to hand its records to appenders.
func (n *Node) logSharing(slow bool, appender oleanderline.VMID) {
	if n.sharing.Swap(slow) == slow {
		return
	}
	if !slow {
		n.common.Event(common.EventAppendsOwn).Info("appending records without an appender again")
		return
	}
	answer := n.policy.Answer(n.common.Clock.Now()).Seconds()
	n.common.Event(common.EventAppendsShared).WithField("answer", answer).WithField("appender", appender).
		Info("records go through an appender")
}

// appendAt has a process store a record, which may be this one.
func (n *Node) appendAt(ctx context.Context, vm oleanderline.VMID, address string, rec oleanderline.KeyedRecord) error {
	if vm == n.settings.VM {
		return n.batcher.store(ctx, rec)
	}
	return n.handOver(ctx, vm, address, rec)
}

// handOver has an appender store a record.
func (n *Node) handOver(ctx context.Context, vm oleanderline.VMID, address string, rec oleanderline.KeyedRecord) error {
	n.metrics.handedOver.Inc()
	begun := n.common.Clock.Now()
	wait := n.policy.HandOverTime(timeLeft(ctx), begun)
	err := n.appenders.Append(ctx, address, relay.AppendRequest{Record: rec, Wait: wait})
	now := n.common.Clock.Now()
	n.policy.ObserveHandOver(vm, handOverResult(err), now.Sub(begun), now)
	fields := logrus.Fields{"record": rec.Key, "appender": vm, "took": now.Sub(begun).Seconds()}
	if err != nil {
		n.metrics.handOverFailures.Inc()
		n.common.Event(common.EventHandOverFailed).WithFields(fields).WithError(err).Warn("an appender has not stored a record")
		return err
	}
	n.common.Event(common.EventHandOver).WithFields(fields).Info("record stored by an appender")
	return nil
}

// handOverResult returns the result of a call to an appender by its error.
func handOverResult(err error) groupcommit.HandOver {
	switch {
	case err == nil:
		return groupcommit.HandOverStored
	case errors.Is(err, relay.ErrNotInTime):
		return groupcommit.HandOverNotInTime
	}
	return groupcommit.HandOverFailed
}

// StoreHere implements relay.Backend.
func (n *Node) StoreHere(ctx context.Context, rec oleanderline.KeyedRecord) error {
	return n.batcher.store(ctx, rec)
}

// AppendHere implements relay.Backend. A process that is stopping refuses, because it may end before its answer.
func (n *Node) AppendHere(ctx context.Context, rec oleanderline.KeyedRecord) error {
	if n.stopping.Load() {
		return oleanderline.ErrUnavailable
	}
	n.metrics.appendedForPeers.Inc()
	return n.batcher.store(ctx, rec)
}

// observeAnswer reports the answer time in a leader's record to the policy.
func (n *Node) observeAnswer(leader record.Leader) {
	if leader.VM != n.settings.VM {
		n.policy.ObserveCell(leader.Answer(), n.common.Clock.Now())
	}
}

// ObserveSlow implements relay.Backend.
func (n *Node) ObserveSlow(answer time.Duration) { n.policy.ObserveCell(answer, n.common.Clock.Now()) }

// countRecords reports to the policy how many submissions and cancellations of the cell were read.
func (n *Node) countRecords(changes []replica.Change) {
	count := 0
	for _, change := range changes {
		if change.Kind == record.KindJob || change.Kind == record.KindCancel {
			count++
		}
	}
	n.policy.ObserveRecords(count, n.common.Clock.Now())
}

// announceSlow tells all processes, on the leader, that the log has become slow. The leader appends all the time and notices first; by its
// records alone, the others would learn of it only after many of them have appended for themselves.
func (n *Node) announceSlow(answer time.Duration) {
	now := n.common.Clock.Now().UnixNano()
	last := n.announced.Load()
	if n.settings.OwnAppends || n.session.Load() == nil || now-last < int64(groupcommit.SlowHold) || !n.announced.CompareAndSwap(last, now) {
		return
	}
	for vm, node := range n.replica.Nodes() {
		if vm == n.settings.VM || node.Address == "" {
			continue
		}
		go func() {
			_ = n.appenders.Slow(n.ctx, node.Address, relay.SlowNotice{Answer: answer}) // a peer that is not reached notices by itself
		}()
	}
}
