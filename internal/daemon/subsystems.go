package daemon

import "context"

// subsystem is a part of a broker that is started and stopped with it, after its constructor was called. start starts
// its goroutines, which end with the context. stop releases the resources that the constructor or start acquired.
// Either may be nil.
type subsystem struct {
	start func(ctx context.Context) error
	stop  func()
}

// subsystems lists the parts of a broker in the order in which they are started.
type subsystems []subsystem

// start starts the subsystems in order until one returns an error, and returns that error. In either case the caller
// must call stop.
func (list subsystems) start(ctx context.Context) error {
	for _, part := range list {
		if part.start == nil {
			continue
		}
		if err := part.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// stop stops all subsystems in reverse order, whether or not they were started.
func (list subsystems) stop() {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].stop != nil {
			list[i].stop()
		}
	}
}

// background returns a subsystem with one goroutine, which ends with the context.
func background(run func(ctx context.Context)) subsystem {
	return subsystem{start: func(ctx context.Context) error {
		go run(ctx)
		return nil
	}}
}
