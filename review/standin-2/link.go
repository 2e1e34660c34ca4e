package main

import (
	"net"
	"time"
)

// link is a proxy before a node: a path of the network with a fixed delay in each direction.
type link struct {
	listener net.Listener
	target   string
	delay    time.Duration
}

func newLink(target string, delay time.Duration) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener, target, delay}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.join(conn)
		}
	}()
	return l, nil
}

func (l *link) join(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	go l.carry(near, far)
	l.carry(far, near)
}

// carry copies bytes, and the end of them, each with the delay.
func (l *link) carry(from, to net.Conn) {
	type piece struct {
		due  time.Time
		text []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer to.Close()
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if _, err := to.Write(p.text); err != nil {
				_ = from.Close()
			}
		}
	}()
	defer close(pieces)
	for {
		buffer := make([]byte, 64<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			pieces <- piece{time.Now().Add(l.delay), buffer[:n]}
		}
		if err != nil {
			return
		}
	}
}
