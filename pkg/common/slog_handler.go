package common

import (
	"context"
	"log/slog"

	"github.com/sirupsen/logrus"
)

// slogHandler forwards the log records of protoactor-go, which uses slog, to logrus.
type slogHandler struct {
	log *logrus.Entry
}

func newSlogHandler(log *logrus.Entry) *slogHandler {
	return &slogHandler{log: log.WithField("event", string(EventActorLibrary))}
}

// Enabled implements slog.Handler. It drops the library's informational lines, which are of no use to operators.
func (h *slogHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelWarn
}

// Handle implements slog.Handler.
func (h *slogHandler) Handle(_ context.Context, record slog.Record) error {
	entry := h.log
	record.Attrs(func(attr slog.Attr) bool {
		entry = entry.WithField(attr.Key, attr.Value.String())
		return true
	})
	level := logrus.WarnLevel
	if record.Level >= slog.LevelError {
		level = logrus.ErrorLevel
	}
	entry.Log(level, record.Message)
	return nil
}

// WithAttrs implements slog.Handler.
func (h *slogHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	entry := h.log
	for _, attr := range attrs {
		entry = entry.WithField(attr.Key, attr.Value.String())
	}
	return &slogHandler{log: entry}
}

// WithGroup implements slog.Handler. Groups are ignored.
func (h *slogHandler) WithGroup(string) slog.Handler { return h }
