package resp

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/internal/pool"
)

// An answer whose figures are late must not wait for them, nor cost its connection.
func TestAnswerBeforeFigures(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	answered := make(chan struct{}, 1)
	connections := make(chan struct{}, 8)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			connections <- struct{}{}
			go func() {
				defer conn.Close()
				for in := redcon.NewReader(conn); ; {
					if _, err := in.ReadCommand(); err != nil {
						return
					}
					io.WriteString(conn, "*3\r\n$2\r\nhi\r\n$14\r\n")
					<-answered
					io.WriteString(conn, "used=37,cost=4\r\n$-1\r\n")
				}
			}()
		}
	}()
	p := pool.New(pool.Options{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxConnections: 4, Logger: logging.ToFunc(func(line string) { t.Error(line) })})
	nodes := NewTransport(p)
	all, _ := commands([]byte(bulk("BLK.READ", "7f3a9c21e0b4d655", "id", listText)), 1)
	req, err := parse(all[0].Raw, all[0].Args)
	if err != nil {
		t.Fatal(err)
	}
	ask := func() {
		t.Helper()
		results := make(chan broker.Result, 1)
		nodes.Start(broker.Attempt{Node: "n", Address: ln.Addr().String(), Request: req, Timeout: broker.Second}, func(r broker.Result) { results <- r })
		select {
		case r := <-results:
			if value, _ := r.Value.([]byte); r.Err != nil || string(value) != "hi" {
				t.Errorf("%+v", r)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no answer")
		}
		answered <- struct{}{}
	}
	ask()
	for end := time.Now().Add(5 * time.Second); !p.HasIdle(ln.Addr().String()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection was not kept")
		}
	}
	ask()
	if n := len(connections); n != 1 {
		t.Errorf("%d connections", n)
	}
}
