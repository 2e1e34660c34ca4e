package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// call is a client's request.
type call struct {
	id, class, plan, volume string
	shard, units, hosts     int
	wait                    time.Duration
	body                    string
}

func (q call) encode() []byte {
	options := fmt.Sprintf("c=%s,t=%s,d=%d,volume=%s,units=%d,shard=%d,hosts=%d", q.class, q.plan,
		q.wait.Milliseconds(), q.volume, q.units, q.shard, q.hosts)
	piece := fmt.Sprintf("%016x", rand.Uint64())
	if q.body != "" {
		return encodeCommand("BLK.WRITE", piece, q.id, options, q.body)
	}
	return encodeCommand("BLK.READ", piece, q.id, options)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var plans = []string{"basico", "padrao", "completo"}

// volumeOf returns the name and plan of a volume.
func volumeOf(i int) (name, plan string) {
	return fmt.Sprintf("00000003b4d6%04x", i), plans[i%len(plans)]
}

// randomCall returns a request of the deployment's mix: 55% reads, 30% writes, 15% exports.
func randomCall(shards int) call {
	volume, plan := volumeOf(rand.IntN(6 * shards))
	q := call{id: newID(), plan: plan, volume: volume, shard: rand.IntN(shards), units: 1 + rand.IntN(3), hosts: 2}
	switch p := rand.Float64(); {
	case p < 0.55:
		q.class, q.wait = "lesson-read", 750*time.Millisecond
	case p < 0.85:
		q.class, q.wait, q.body = "record-write", 1200*time.Millisecond, "enrolment "+q.id
	default:
		q.class, q.wait = "bulk-export", 2500*time.Millisecond
	}
	return q
}

// clientPool keeps a client's connections to one broker, and opens more when all are busy.
type clientPool struct {
	address string
	mu      sync.Mutex
	free    []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialClient(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// ask sends a request and waits for its answer up to half a second beyond its time. If a kept connection turns out to be
// closed, it sends the request one more time on a new one.
func (p *clientPool) ask(q call) (answer, error) {
	p.mu.Lock()
	var kept *clientConn
	if last := len(p.free) - 1; last >= 0 {
		kept, p.free = p.free[last], p.free[:last]
	}
	p.mu.Unlock()
	if kept != nil {
		a, err := p.askOn(kept, q)
		if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
			return a, err
		}
	}
	c, err := dialClient(p.address)
	if err != nil {
		return answer{}, err
	}
	return p.askOn(c, q)
}

// askOn sends a request on a connection, and keeps the connection if the answer came.
func (p *clientPool) askOn(c *clientConn, q call) (answer, error) {
	_ = c.SetDeadline(time.Now().Add(q.wait + 550*time.Millisecond))
	_, err := c.Write(q.encode())
	var a answer
	if err == nil {
		a, err = readAnswer(c.reader)
	}
	if err != nil {
		_ = c.Close()
		return answer{}, err
	}
	p.mu.Lock()
	p.free = append(p.free, c)
	p.mu.Unlock()
	return a, nil
}
