package hawthornway

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/go-kratos/kratos/v2/log"
)

// kratosLog forwards the log messages of kratos to slog.
type kratosLog struct {
	log *slog.Logger
}

// SetKratosLog sets the logger for kratos, which has one logger per process.
func SetKratosLog(to *slog.Logger) { log.SetLogger(&kratosLog{log: to}) }

// Log logs a message. Messages below the warning level are logged as debug
// messages.
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
