package hawthornway

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/go-kratos/kratos/v2/log"
)

// kratosLog passes kratos's lines on to slog.
type kratosLog struct {
	log *slog.Logger
}

// SetKratosLog passes the lines of kratos, which has one logger a process, on to
// a logger.
func SetKratosLog(to *slog.Logger) { log.SetLogger(&kratosLog{log: to}) }

// Log writes one line. Kratos's information is for debugging here.
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
