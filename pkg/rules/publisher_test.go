package rules

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a wrong result of Publish, and against a second revision after a lost answer.
func TestPublishOutcomes(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := &instantClock{now: testStart, timersLeft: 20, cancel: cancel}
	log := newFakeLog()
	publish := func(r Request) (Receipt, error) {
		return NewPublisher(testCommon(clock), log).Publish(ctx, r)
	}
	log.loseReply = true
	receipt, err := publish(Request{ID: "a", By: "ana", Text: "quota team=t acc=1 # x\n"})
	require.NoError(t, err)
	require.Equal(t, Receipt{Revision: 1}, receipt)
	require.Len(t, log.entries, 1)

	receipt, err = publish(Request{ID: "a", By: "ana", Text: "quota team=t acc=1 # x\n"})
	require.NoError(t, err)
	require.Equal(t, Receipt{Revision: 1, Found: true}, receipt)

	receipt, err = publish(Request{ID: "b", By: "bo", Base: 1, Text: "quota team=t acc=2 # y\n"})
	require.NoError(t, err)
	require.Equal(t, Receipt{Revision: 2}, receipt)

	_, err = publish(Request{ID: "c", By: "ana", Base: 1, Text: "quota team=t acc=3 # z\n"})
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "bo", conflict.By)
	require.True(t, conflict.BaseKnown)
	require.Len(t, conflict.Changes, 1)
	require.Equal(t, "~ quota team=t acc=1 # x\n  quota team=t acc=2 # y", conflict.Changes[0].String())

	again := NewPublisher(testCommon(clock), newFakeLog())
	for i, text := range []string{"# one\n", "# two\n"} {
		receipt, err = again.Publish(ctx, Request{ID: text, Base: oleanderline.Revision(i), Text: text})
		require.NoError(t, err)
		require.Equal(t, Receipt{Revision: oleanderline.Revision(i + 1)}, receipt, "a publisher does not reuse its last outcome")
	}

	receipt, err = publish(Request{ID: "d", By: "ana", Base: 1, Text: "quota team=t acc=2 # y\n"})
	require.NoError(t, err)
	require.Equal(t, Receipt{Revision: 2, Unchanged: true}, receipt)

	_, err = publish(Request{ID: "e", Base: 2, Text: "quota team=t # y\n"})
	require.ErrorIs(t, err, ErrInvalid)

	mustAppend(t, log, Entry{ID: republishPrefix + "2", Base: 2, By: "bo", Text: "quota team=t acc=2 # y\n"})
	receipt, err = publish(Request{ID: "f", By: "ana", Base: 2, Text: "# none\n"})
	require.NoError(t, err, "republishing the base unchanged is no conflict")
	require.Equal(t, Receipt{Revision: 4}, receipt)

	log.beforeAppend = func() { log.down, log.delayAppend = true, true }
	_, err = publish(Request{ID: "g", By: "ana", Base: 4, Text: "\n"})
	require.ErrorIs(t, err, oleanderline.ErrUnavailable)
	log.down, log.delayAppend = false, true
	log.beforeAppend = func() {
		log.beforeAppend = func() { log.down = true }
	}
	clock.timersLeft = 3
	_, err = publish(Request{ID: "h", By: "ana", Base: 4, Text: "\n"})
	require.ErrorIs(t, err, ErrOutcomeUnknown)
}

// Guards against a stream on which nobody can publish after retention has removed the newest revision.
func TestBeginAfterTheLastRevisionIsLost(t *testing.T) {
	clock := &instantClock{now: testStart}
	log := newFakeLog()
	mustAppend(t, log, Entry{ID: "a", Text: "# lost\n"})
	informed := NewFollower(testCommon(clock), log)
	informed.Step(t.Context())
	log.retain(2)
	fresh := NewFollower(testCommon(clock), log)
	request := Request{ID: "b", By: "ana", Text: "# new\n"}
	_, err := NewPublisher(testCommon(clock), log).Publish(t.Context(), request)
	require.ErrorIs(t, err, ErrUnsettled)
	request.Bootstrap = true
	peers := WithPeers(func(context.Context) []Snapshot { return []Snapshot{informed.Snapshot()} })
	_, err = NewPublisher(testCommon(clock), log, peers).Publish(t.Context(), request)
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict, "the peer's revision 1 counts, because the peer answers")
	require.Len(t, log.entries, 1)
	receipt, err := NewPublisher(testCommon(clock), log).Publish(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, Receipt{Revision: 3}, receipt)
	fresh.Step(t.Context())
	require.Equal(t, oleanderline.Revision(3), fresh.Current().Revision)
	informed.Step(t.Context())
	require.Equal(t, "# lost\n", informed.Current().Text, "a process that knows a revision refuses the entries of a bootstrap")
}
