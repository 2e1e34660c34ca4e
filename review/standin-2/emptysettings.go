package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	emptySettingsRun  = 8 * time.Second
	emptySettingsRate = 60 // requests a second through each broker
)

// down and go on?
func emptySettings(root, dir string, trouble bool) (verdict, error) {
	w, err := newWorld(root, dir, trouble, 3, 8, nil)
	if err != nil {
		return verdict{}, err
	}
	defer w.end()
	if err := w.startBrokers(); err != nil {
		return verdict{}, err
	}
	var open, unanswered, answered atomic.Int64
	var clients sync.WaitGroup
	stop := time.Now().Add(emptySettingsRun)
	for _, b := range w.brokers {
		pool := &clientPool{address: b.listen}
		clients.Go(func() {
			var calls sync.WaitGroup
			for time.Now().Before(stop) && !b.hasEnded() {
				time.Sleep(time.Second / emptySettingsRate)
				calls.Go(func() {
					q := randomCall(len(w.nodes))
					open.Add(1)
					a, err := pool.ask(q)
					open.Add(-1)
					w.log.printf("client: %s %s through %s -> %s %.40q %v", q.class, q.id, b.name, a.kind, a.text, err)
					if err != nil {
						unanswered.Add(1)
					} else {
						answered.Add(1)
					}
				})
			}
			calls.Wait()
		})
	}
	time.Sleep(2 * time.Second) // SIGHUP never comes in the first second
	for _, b := range w.brokers {
		if trouble {
			b.config["settings"] = []any{}
		}
		if err := b.writeConfig(); err != nil {
			return verdict{}, err
		}
		w.log.printf("platform: new file, SIGHUP to broker %s; open requests of all brokers %d", b.name, open.Load())
		b.signal(syscall.SIGHUP)
		time.Sleep(time.Second)
	}
	clients.Wait()
	ended := 0
	for _, b := range w.brokers {
		if b.hasEnded() {
			ended++
			w.log.printf("broker %s ended: %v", b.name, b.cmd.ProcessState)
		}
	}
	text := fmt.Sprintf("%d of %d brokers ended after SIGHUP; %d requests without an answer, %d answered", ended,
		len(w.brokers), unanswered.Load(), answered.Load())
	w.log.printf("%s", text)
	if answered.Load() == 0 {
		return verdict{}, errors.New(text)
	}
	return verdict{ended + int(unanswered.Load()), text}, nil
}
