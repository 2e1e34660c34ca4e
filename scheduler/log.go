package scheduler

import (
	"fmt"
)

// log writes a line for the people on call, each kind at most once in logTicks.
func (g *Scheduler) log(kind, format string, args ...any) {
	if last, seen := g.logged[kind]; seen && g.ticks-last < logTicks {
		return
	}
	g.logged[kind] = g.ticks
	g.act(Log{Text: kind + ": " + fmt.Sprintf(format, args...)})
}
