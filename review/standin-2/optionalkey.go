package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	toldAfterSIGHUP  = 4 * time.Second
	oldDiscoveryEnds = 1500 * time.Millisecond
	optionalKeyRun   = 18 * time.Second
)

// optionalKey: a new configuration moves discovery, and in its settings a class appears without a key that may be absent.
func optionalKey(root, dir string, trouble bool) (verdict, error) {
	w, err := newWorld(root, dir, trouble, 3, 8, nil)
	if err != nil {
		return verdict{}, err
	}
	defer w.end()
	for _, b := range w.brokers {
		for _, c := range b.config["settings"].(object)["classes"].([]object) {
			c["aimStretch"] = 0.5
		}
	}
	next, err := newDiscovery(append([]hostEntry{}, w.entries...), w.log)
	if err != nil {
		return verdict{}, err
	}
	d := watchDrain(w, w.nodes[0])
	if err := w.startBrokers(); err != nil {
		return verdict{}, err
	}
	wait := load(w, 60, time.Now().Add(optionalKeyRun))
	time.Sleep(1500 * time.Millisecond)
	told := w.discovery
	if trouble {
		told = next
		for _, b := range w.brokers {
			settings := b.config["settings"].(object)
			settings["classes"] = append(settings["classes"].([]object), class("report-read", "safe", 300000, 1000000, 1))
			b.config["discovery"] = next.address()
			if err := b.writeConfig(); err != nil {
				return verdict{}, err
			}
			b.signal(syscall.SIGHUP)
		}
		w.log.printf("platform: a class appears and discovery moves, SIGHUP")
		_ = w.discovery.listener.Close()
		time.AfterFunc(oldDiscoveryEnds, func() { _ = w.discovery.server.Close() })
	}
	time.Sleep(toldAfterSIGHUP)
	entry := w.entries[0]
	entry.Health = "DRAINING"
	told.change(entry)
	d.setTold(time.Now())
	answers := wait()
	text := fmt.Sprintf("%d requests reached the draining node later than allowed, the last %v after it was told; %d "+
		"before; answers%s", d.late, d.lastLag, d.before, answers)
	w.log.printf("%s", text)
	if d.before == 0 {
		return verdict{}, errors.New(text)
	}
	return verdict{d.late, text}, nil
}
