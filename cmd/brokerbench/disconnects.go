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
	"time"

	"github.com/tidwall/redcon"
	"github.com/urfave/cli/v3"

	"junctionwharf/internal/fakes"
	"junctionwharf/internal/load"
)

const (
	// lateLimit is the delay after a client's disconnect above which a forwarded request is counted separately.
	lateLimit = 100 * time.Millisecond
	// maxDisconnectDelay is the latest disconnect, in multiples of a node's answer time. Some clients disconnect while
	// their request is queued, some while it is at the node, and some after the answer.
	maxDisconnectDelay = 10
	// settleTime is longer than any request's deadline.
	settleTime = time.Second
	// backgroundLength is the maximum length of the background load, longer than a measurement takes.
	backgroundLength = 5 * time.Minute
	// backgroundConnections is the maximum number of connections of the background load. With fewer connections, the
	// clients would be the limit, not the broker.
	backgroundConnections = 1000
)

func disconnectsCommand() *cli.Command {
	return &cli.Command{
		Name: "leavers",
		Usage: "disconnect clients at random times during their requests, from an idle and from a busy broker, and " +
			"print how late a node still received such a request",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/junctionwharf", Usage: "the broker's program"},
			&cli.IntFlag{Name: "leavers", Value: 4000, Usage: "clients for each of the two runs, 1 to 100000"},
			&cli.IntFlag{Name: "at-once", Value: 100, Usage: "clients at a time, 1 to 1000"},
			&cli.DurationFlag{Name: "answer", Value: 20 * time.Millisecond, Usage: "answer time of a node"},
			&cli.FloatFlag{Name: "rate", Value: 12000, Usage: "requests a second that keep the broker busy"},
			&cli.UintFlag{Name: "seed", Value: 1},
		},
		Action: measureDisconnects,
	}
}

func measureDisconnects(ctx context.Context, cmd *cli.Command) error {
	count := cmd.Int("leavers")
	atOnce := cmd.Int("at-once")
	switch {
	case count < 1 || count > 100000:
		return fmt.Errorf("--leavers: %d is not within 1 to 100000", count)
	case atOnce < 1 || atOnce > 1000:
		return fmt.Errorf("--at-once: %d is not within 1 to 1000", atOnce)
	}
	table := newTable(os.Stdout)
	_, _ = fmt.Fprintln(table, "broker\tleavers\tat the node before they left\tafter\tlargest ms after\tover 100 ms\t")
	for _, busy := range []bool{false, true} {
		late, before, err := playDisconnects(ctx, cmd, busy)
		if err != nil {
			return err
		}
		name := "idle"
		if busy {
			name = "busy"
		}
		largest := 0.0
		over := 0
		for _, d := range late {
			largest = max(largest, d.Seconds()*1000)
			if d > lateLimit {
				over++
			}
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f\t%d\t\n", name, count, before, len(late), largest, over)
	}
	return table.Flush()
}

// disconnectRecorder records when its fake node received requests, and when its clients disconnected.
type disconnectRecorder struct {
	answerTime time.Duration // of the node

	mu             sync.Mutex
	disconnectedAt map[string]time.Time // by request ID, just before the client closed its connection
	receivedAt     map[string]time.Time // by request ID, when the node received the last byte
}

// serveNode answers the requests of a connection one at a time, each after answerTime, until the connection ends.
func (r *disconnectRecorder) serveNode(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := redcon.NewReader(conn)
	for {
		command, err := reader.ReadCommand()
		if err != nil || len(command.Args) < 4 {
			return
		}
		r.mu.Lock()
		r.receivedAt[string(command.Args[2])] = time.Now()
		r.mu.Unlock()
		time.Sleep(r.answerTime)
		_, _ = io.WriteString(conn, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	}
}

// disconnect sends a request and closes the connection after delay, with or without an answer. If reset is set, the
// connection ends with a TCP reset.
func (r *disconnectRecorder) disconnect(address, id string, delay time.Duration, reset bool) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	const attributes = "c=lesson-read,t=completo,d=750,volume=00000003b4d60021,units=1,shard=0,hosts=1"
	if _, err := conn.Write(load.AppendCommand(nil, "BLK.READ", "7f3a9c21e0b4d655", id, attributes)); err != nil {
		return err
	}
	time.Sleep(delay)
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	r.mu.Lock()
	r.disconnectedAt[id] = time.Now()
	r.mu.Unlock()
	return conn.Close()
}

// late returns the sorted delays from a client's disconnect until the node received its request, and the number of
// requests that the node received before the disconnect.
func (r *disconnectRecorder) late() (late []time.Duration, before int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, disconnected := range r.disconnectedAt {
		received, found := r.receivedAt[id]
		switch {
		case !found:
		case received.After(disconnected):
			late = append(late, received.Sub(disconnected))
		default:
			before++
		}
	}
	slices.Sort(late)
	return late, before
}

// playDisconnects starts a broker and runs the clients that disconnect. If busy is set, a background load runs beside
// them.
func playDisconnects(ctx context.Context, cmd *cli.Command, busy bool) (late []time.Duration, before int, err error) {
	recorder := &disconnectRecorder{
		answerTime:     cmd.Duration("answer"),
		disconnectedAt: map[string]time.Time{},
		receivedAt:     map[string]time.Time{},
	}
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = listener.Close() }()
	go acceptAll(listener, recorder.serveNode)
	bed, err := newTestbed(cmd.String("program"), 2, 100*time.Microsecond)
	if err != nil {
		return nil, 0, err
	}
	defer bed.close()
	// the recording node replaces node-0, the replica of shard 0
	bed.discovery.Change(
		fakes.Endpoint{Name: "node-0", Health: "DELETED"},
		fakes.Endpoint{Name: "leavers", Address: listener.Addr().String(), Health: "SERVING", Share: 1})
	process, err := bed.startBroker(ctx, noMetrics)
	if err != nil {
		return nil, 0, err
	}
	defer process.kill()
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loadEnded := make(chan error, 1)
	if busy {
		go func() { loadEnded <- backgroundLoad(loadContext, cmd, process.address) }()
	} else {
		loadEnded <- nil
	}
	clientError := recorder.runClients(ctx, cmd, process.address)
	time.Sleep(settleTime)
	stopLoad()
	if err := <-loadEnded; err != nil && !errors.Is(err, context.Canceled) {
		return nil, 0, err
	}
	late, before = recorder.late()
	return late, before, clientError
}

// acceptAll serves each connection in its own goroutine until the listener is closed.
func acceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// backgroundLoad sends a load that keeps a broker busy until ctx ends.
func backgroundLoad(ctx context.Context, cmd *cli.Command, address string) error {
	traffic := load.Traffic{
		Classes:  []load.RequestClass{{Name: "lesson-read", Share: 1, Deadline: 750 * time.Millisecond}},
		Plans:    []string{"basico"},
		Volumes:  500,
		Skew:     1.2,
		Shards:   1,
		MaxUnits: 3,
		Brokers:  1,
		Rate:     cmd.Float("rate"),
		Duration: backgroundLength,
		Seed:     uint64(cmd.Uint("seed")),
	}
	_, err := load.Run(ctx, traffic, load.Options{
		Addresses: []string{address}, MaxConnections: backgroundConnections, WaitForConnection: true,
	})
	return err
}

// runClients runs all clients, several at a time, and returns the error of one of them if any fails.
func (r *disconnectRecorder) runClients(ctx context.Context, cmd *cli.Command, address string) error {
	count := cmd.Int("leavers")
	atOnce := cmd.Int("at-once")
	seed := uint64(cmd.Uint("seed"))
	var clients sync.WaitGroup
	failures := make(chan error, atOnce)
	for first := range atOnce {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(first)))
			for n := first; n < count && ctx.Err() == nil; n += atOnce {
				delay := time.Duration(random.Int64N(int64(maxDisconnectDelay * r.answerTime)))
				reset := random.IntN(2) == 0
				if err := r.disconnect(address, fmt.Sprintf("leaver-%d", n), delay, reset); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	clients.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return nil
	}
}
