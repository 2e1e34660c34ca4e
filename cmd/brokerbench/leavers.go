package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/tidwall/redcon"
	"github.com/urfave/cli/v3"

	"junctionwharf/internal/fakes"
	"junctionwharf/internal/load"
)

func leaversCommand() *cli.Command {
	return &cli.Command{
		Name:  "leavers",
		Usage: "have clients leave at any moment of their requests, with the broker idle and kept busy, and say how late a node still got one",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/junctionwharf", Usage: "the broker"},
			&cli.IntFlag{Name: "leavers", Value: 4000, Usage: "of each kind, 1 to 100000"},
			&cli.IntFlag{Name: "at-once", Value: 100, Usage: "leavers at a time, 1 to 1000"},
			&cli.DurationFlag{Name: "answer", Value: 20 * time.Millisecond, Usage: "a node's time for a request"},
			&cli.FloatFlag{Name: "rate", Value: 12000, Usage: "requests a second that keep the broker busy"},
			&cli.UintFlag{Name: "seed", Value: 1},
		},
		Action: measureLeavers,
	}
}

// leaving is a measurement of leavers.
type leaving struct {
	mu     sync.Mutex
	left   map[string]time.Time // by request, just before its client closed the connection
	began  map[string]time.Time // when its last byte came to the node
	answer time.Duration
}

// node takes requests and answers each after a while, one at a time on a connection.
func (l *leaving) node(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for in := redcon.NewReader(conn); ; {
		cmd, err := in.ReadCommand()
		if err != nil || len(cmd.Args) < 4 {
			return
		}
		l.mu.Lock()
		l.began[string(cmd.Args[2])] = time.Now()
		l.mu.Unlock()
		time.Sleep(l.answer)
		_, _ = io.WriteString(conn, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	}
}

// leave sends a request and closes the connection a drawn time later, whether or not the answer has come.
func (l *leaving) leave(address, id string, after time.Duration, reset bool) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	list := "c=lesson-read,t=completo,d=750,volume=00000003b4d60021,units=1,shard=0,hosts=1"
	if _, err := conn.Write(load.AppendCommand(nil, "BLK.READ", "7f3a9c21e0b4d655", id, list)); err != nil {
		return err
	}
	time.Sleep(after)
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	l.mu.Lock()
	l.left[id] = time.Now()
	l.mu.Unlock()
	return conn.Close()
}

// late are the times from a close to the node's last byte of that request, for those that came after it, in order.
func (l *leaving) late() (late []time.Duration, before int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, left := range l.left {
		if began, came := l.began[id]; came && began.After(left) {
			late = append(late, began.Sub(left))
		} else if came {
			before++
		}
	}
	slices.Sort(late)
	return late, before
}

func measureLeavers(ctx context.Context, cmd *cli.Command) error {
	count, atOnce := cmd.Int("leavers"), cmd.Int("at-once")
	switch {
	case count < 1 || count > 100000:
		return fmt.Errorf("--leavers: %d is not within 1 to 100000", count)
	case atOnce < 1 || atOnce > 1000:
		return fmt.Errorf("--at-once: %d is not within 1 to 1000", atOnce)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "broker\tleavers\tat the node before they left\tafter\tlargest ms after\tover 100 ms\t")
	for _, busy := range []bool{false, true} {
		late, before, err := leaversOnce(ctx, cmd, busy)
		if err != nil {
			return err
		}
		largest, over := 0.0, 0
		for _, d := range late {
			largest = max(largest, d.Seconds()*1000)
			if d > 100*time.Millisecond {
				over++
			}
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f\t%d\t\n", map[bool]string{false: "idle", true: "busy"}[busy], count, before, len(late), largest, over)
	}
	return table.Flush()
}

func leaversOnce(ctx context.Context, cmd *cli.Command, busy bool) (late []time.Duration, before int, err error) {
	l := &leaving{left: map[string]time.Time{}, began: map[string]time.Time{}, answer: cmd.Duration("answer")}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go l.node(conn)
		}
	}()
	f, err := newFleet(cmd.String("program"), 2, 100*time.Microsecond)
	if err != nil {
		return nil, 0, err
	}
	defer f.close()
	f.discovery.Change(fakes.Endpoint{Name: "node-0", Health: "DELETED"}, fakes.Endpoint{Name: "leavers", Address: ln.Addr().String(), Health: "SERVING", Share: 1})
	r, err := f.start(ctx, "", "", 10)
	if err != nil {
		return nil, 0, err
	}
	defer r.kill()
	ctx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	if busy {
		kinds := []load.RequestClass{{Name: "lesson-read", Share: 1, Deadline: 750 * time.Millisecond}}
		t := load.Traffic{Classes: kinds, Plans: []string{"basico"}, Volumes: 500, Skew: 1.2, Shards: 1, MaxUnits: 3, Brokers: 1,
			Rate: cmd.Float("rate"), Duration: 5 * time.Minute, Seed: uint64(cmd.Uint("seed"))}
		go func() {
			_, err := load.Run(ctx, t, load.Options{Addresses: []string{r.address}, MaxConnections: 1000, WaitForConnection: true})
			done <- err
		}()
	} else {
		done <- nil
	}
	var clients sync.WaitGroup
	failed := make(chan error, cmd.Int("at-once"))
	for i := range cmd.Int("at-once") {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(uint64(cmd.Uint("seed")), uint64(i)))
			for n := i; n < cmd.Int("leavers") && ctx.Err() == nil; n += cmd.Int("at-once") {
				after := time.Duration(random.Int64N(int64(10 * l.answer)))
				if err := l.leave(r.address, fmt.Sprintf("leaver-%d", n), after, random.IntN(2) == 0); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second) // past each client's time
	stop()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		return nil, 0, err
	}
	select {
	case err = <-failed:
	default:
	}
	late, before = l.late()
	return late, before, err
}
