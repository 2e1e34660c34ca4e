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
	lateCopyRun   = 30 * time.Second
	lateCopyShare = 10                      // one answer in so many is followed by a second copy
	lateCopyRate  = 107                     // requests a second through each of the three brokers
	linkDelay     = 1200 * time.Microsecond // one way; the site names up to 1.3 ms
)

// lateCopy: a node's answer is followed by a second copy some milliseconds later, when nothing else is waiting on the
// connection. Does a client get the value of another request?
func lateCopy(root, dir string, trouble bool) (verdict, error) {
	var linkErr error
	w, err := newWorld(root, dir, trouble, 3, 8, func(n *node) string {
		l, err := newLink(n.address(), linkDelay)
		if err != nil {
			linkErr = err
			return n.address()
		}
		return l.listener.Addr().String()
	})
	if err = errors.Join(err, linkErr); err != nil {
		return verdict{}, err
	}
	defer w.end()
	var copies, withheld atomic.Int64
	for _, n := range w.nodes {
		n.serve = func(c *nodeConn, r request) {
			n.work(r)
			text := n.answer(r)
			seen := c.received.Load()
			c.send(text)
			if !trouble || rand.IntN(lateCopyShare) > 0 {
				return
			}
			time.AfterFunc(time.Duration(2000+rand.IntN(6000))*time.Microsecond, func() {
				c.writing.Lock()
				defer c.writing.Unlock()
				if c.received.Load() != seen { // something else is waiting
					withheld.Add(1)
					return
				}
				if _, err := c.Write([]byte(text)); err == nil {
					copies.Add(1)
					w.log.printf("node %s: second copy of the answer to %s", n.name, r.id)
				}
			})
		}
	}
	if err := w.startBrokers(); err != nil {
		return verdict{}, err
	}
	var wrong, servedCount, other, noAnswer atomic.Int64
	var clients sync.WaitGroup
	for _, b := range w.brokers {
		pool := &clientPool{address: b.listen}
		clients.Go(func() {
			var calls sync.WaitGroup
			for end := time.Now().Add(lateCopyRun); time.Now().Before(end); {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / lateCopyRate))
				calls.Go(func() {
					q := randomCall(len(w.nodes))
					a, err := pool.ask(q)
					w.log.printf("client: %s %s -> %s %.60q %v", q.class, q.id, a.kind, a.text, err)
					switch {
					case err != nil:
						noAnswer.Add(1)
					case a.kind != served:
						other.Add(1)
					case a.text != valueOf(q.id):
						wrong.Add(1)
						w.log.printf("WRONG VALUE: the client of %s %s got %q", q.class, q.id, a.text)
					default:
						servedCount.Add(1)
					}
				})
			}
			calls.Wait()
		})
	}
	clients.Wait()
	text := fmt.Sprintf("%d values of other requests; served %d, refused or failed %d, no answer %d; second copies %d, "+
		"withheld %d", wrong.Load(), servedCount.Load(), other.Load(), noAnswer.Load(), copies.Load(), withheld.Load())
	w.log.printf("%s", text)
	if servedCount.Load() == 0 {
		return verdict{}, errors.New(text)
	}
	return verdict{int(wrong.Load()), text}, nil
}
