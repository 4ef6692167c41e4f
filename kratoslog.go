package hawthornway

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/go-kratos/kratos/v2/log"
)

// kratosLog forwards kratos log messages to slog.
type kratosLog struct {
	log *slog.Logger
}

// SetKratosLog forwards kratos log messages to a slog.Logger. Kratos has one
// logger per process.
func SetKratosLog(to *slog.Logger) { log.SetLogger(&kratosLog{log: to}) }

// Log writes one message. Info messages of kratos are logged at debug level.
func (l *kratosLog) Log(level log.Level, pairs ...any) error {
	to := slog.LevelDebug
	switch level {
	case log.LevelWarn:
		to = slog.LevelWarn
	case log.LevelError, log.LevelFatal:
		to = slog.LevelError
	}
	l.log.Log(context.Background(), to, "listener: "+fmt.Sprint(pairs...))
	return nil
}
