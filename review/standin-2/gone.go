package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	goneRounds   = 20
	goneInterval = time.Second
	sentAndGone  = 17500 << 10            // bytes of a value of 60 MB that a bad client sends before it goes
	afterClose   = 150 * time.Millisecond // the rule's 0.1 s and the 50 ms by which every limit is longer
)

// gone: bad clients send a request and much that cannot be read, and go. Does an attempt of such a request begin long
// after its client has closed its connection?
func gone(root, dir string, trouble bool) (verdict, error) {
	w, err := newWorld(root, dir, trouble, 3, 8, nil)
	if err != nil {
		return verdict{}, err
	}
	defer w.end()
	var standsUntil atomic.Int64
	var begun sync.Map // id of a request -> time of its first attempt at a node
	for _, n := range w.nodes {
		n.serve = func(c *nodeConn, r request) {
			begun.LoadOrStore(r.id, r.received)
			time.Sleep(time.Until(time.UnixMicro(standsUntil.Load())))
			n.work(r)
			c.send(n.answer(r))
		}
	}
	if err := w.startBrokers(); err != nil {
		return verdict{}, err
	}
	b := w.brokers[0]
	pool := &clientPool{address: b.listen}
	late, early, never := 0, 0, 0
	var answered atomic.Int64
	var clients sync.WaitGroup
	for range goneRounds {
		shard := rand.IntN(len(w.nodes))
		export := func() call {
			volume, plan := volumeOf(rand.IntN(6 * len(w.nodes)))
			return call{id: newID(), class: "bulk-export", plan: plan, volume: volume, shard: shard, units: 1, hosts: 2,
				wait: 2500 * time.Millisecond}
		}
		standsUntil.Store(time.Now().Add(standstill).UnixMicro())
		for range 4 {
			q := export()
			clients.Go(func() {
				a, err := pool.ask(q)
				w.log.printf("client: %s -> %s %.40q %v", q.id, a.kind, a.text, err)
				if err == nil {
					answered.Add(1)
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		q := export()
		c, err := dialClient(b.listen)
		if err != nil {
			return verdict{}, err
		}
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		message := q.encode()
		if trouble {
			message = append(message, fmt.Sprintf("*5\r\n$9\r\nBLK.WRITE\r\n$16\r\n%s\r\n$%d\r\n", newID(), 60<<20)...)
			message = append(message, make([]byte, sentAndGone)...)
		}
		_, err = c.Write(message)
		_ = c.Close()
		closed := time.Now()
		w.log.printf("bad client: %s sent with %d bytes, %v, and gone", q.id, len(message), err)
		time.Sleep(goneInterval)
		at, sent := begun.Load(q.id)
		switch {
		case !sent:
			never++
		case at.(time.Time).Sub(closed) > afterClose:
			late++
			w.log.printf("LATE: attempt of %s began %d ms after its client had gone", q.id,
				at.(time.Time).Sub(closed).Milliseconds())
		default:
			early++
		}
	}
	clients.Wait()
	text := fmt.Sprintf("%d of %d attempts began over %v after their clients had gone, %d earlier, %d never; "+
		"other requests answered %d", late, goneRounds, afterClose, early, never, answered.Load())
	w.log.printf("%s", text)
	if answered.Load() == 0 {
		return verdict{}, errors.New(text)
	}
	return verdict{late, text}, nil
}
