package consensus

import (
	"fmt"
	"log/slog"
)

// raftLogger writes raft's log lines up to warnings at level debug, and its errors at level warn. Raft calls Fatal and
// Panic when its invariants are broken. Both panic here, because continuing would break the guarantees of the package.
type raftLogger struct{ log *slog.Logger }

func (l raftLogger) Debug(v ...any)                   { l.log.Debug(fmt.Sprint(v...)) }
func (l raftLogger) Debugf(format string, v ...any)   { l.log.Debug(fmt.Sprintf(format, v...)) }
func (l raftLogger) Info(v ...any)                    { l.log.Debug(fmt.Sprint(v...)) }
func (l raftLogger) Infof(format string, v ...any)    { l.log.Debug(fmt.Sprintf(format, v...)) }
func (l raftLogger) Warning(v ...any)                 { l.log.Debug(fmt.Sprint(v...)) }
func (l raftLogger) Warningf(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }
func (l raftLogger) Error(v ...any)                   { l.log.Warn(fmt.Sprint(v...)) }
func (l raftLogger) Errorf(format string, v ...any)   { l.log.Warn(fmt.Sprintf(format, v...)) }
func (l raftLogger) Fatal(v ...any)                   { panic(fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
func (l raftLogger) Panic(v ...any)                   { panic(fmt.Sprint(v...)) }
func (l raftLogger) Panicf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
