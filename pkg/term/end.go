package term

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// maxLoggedRuns bounds the runs in one log line.
const maxLoggedRuns = 20

// end ends the term: from now on, this process sends no calls as the leader.
func (s *Session) end(reason string) {
	now := s.common.Clock.Now()
	authorityLeft := s.authorityEnd(now).Sub(now)
	if s.ended.Swap(true) {
		return
	}
	s.endedAt.Store(now.UnixNano())
	s.common.Event(common.EventTermEnds).WithFields(logrus.Fields{
		"term": s.settings.Leader.Term, "reason": reason, "resigned": s.resigned.Load(), "starts": s.openStarts.Load(),
		"authority": seconds(authorityLeft), "agents": seconds(max(0, s.roster.AuthorityEnd().Sub(now))),
	}).Info("leadership ends")
	s.cancel()
}

// close ends the event loop after all calls of the term have returned, and logs the remaining notes and the runs whose orders have
// no result.
func (s *Session) close() {
	s.awaitHandler()
	s.wg.Wait()
	if err := s.loop.Stop(); err != nil {
		s.common.Log.WithError(err).Warn("event loop of the planner did not stop")
		return
	}
	for _, note := range s.planner.LastNotes() {
		s.logNote(note)
	}
	starts, stops := s.planner.OpenRuns()
	fields := logrus.Fields{
		"term": s.settings.Leader.Term, "after": seconds(s.common.Clock.Now().Sub(time.Unix(0, s.endedAt.Load()))),
		"starts": len(starts), "stops": len(stops),
	}
	if len(starts) > 0 {
		fields["starting"] = runTexts(starts)
	}
	if len(stops) > 0 {
		fields["stopping"] = runTexts(stops)
	}
	s.common.Event(common.EventTermClosed).WithFields(fields).Info("the last call of the term has returned")
}

// awaitHandler waits until the message that was being handled when the term ended is done, since it may open links.
func (s *Session) awaitHandler() {
	done := make(chan struct{})
	for !s.loop.Post(handlerAwaited{done}) {
		time.Sleep(postRetryDelay)
	}
	<-done
}

// runTexts returns the first maxLoggedRuns of the runs as TASK/RUN.
func runTexts(runs []oleanderline.RunKey) []string {
	texts := make([]string, min(len(runs), maxLoggedRuns))
	for i := range texts {
		texts[i] = fmt.Sprintf("%s/%d", runs[i].Task, runs[i].Run)
	}
	return texts
}
