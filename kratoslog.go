package hawthornway

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/go-kratos/kratos/v2/log"
)

// kratosLog is a kratos logger that logs to slog.
type kratosLog struct {
	log *slog.Logger
}

// SetKratosLog makes kratos log to a logger. Kratos has one logger for the whole
// process.
func SetKratosLog(to *slog.Logger) { log.SetLogger(&kratosLog{log: to}) }

// Log logs one line. Kratos's info lines are logged at debug level.
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
