package daemon

import "context"

// subsystem is a part of a broker that is started and stopped with it. Its constructor has been called before; start
// begins its goroutines, which end with the context, and stop releases what the constructor or start acquired. Either
// may be nil.
type subsystem struct {
	start func(ctx context.Context) error
	stop  func()
}

// subsystems are the parts of a broker, in the order in which they are started.
type subsystems []subsystem

// start starts all of them, or returns the first error. In either case stop has to be called.
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

// stop stops all of them, the last one first.
func (list subsystems) stop() {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].stop != nil {
			list[i].stop()
		}
	}
}

// background is a subsystem of one goroutine that ends with the context.
func background(run func(ctx context.Context)) subsystem {
	return subsystem{start: func(ctx context.Context) error {
		go run(ctx)
		return nil
	}}
}
