package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/capacity"
	"junctionwharf/internal/fleetharness"
	"junctionwharf/internal/load"
)

const (
	// connectionOpeners is the number of connections that are opened concurrently. Opening all connections must be
	// quick, because a broker may close a connection that has been silent for ten seconds.
	connectionOpeners = 32
	// loadConnections is the maximum number of connections of the load beside the idle connections.
	loadConnections = 2000
	// firstAnswerTimeout limits the wait for the answer to a connection's first request. If it expires, the measurement
	// fails.
	firstAnswerTimeout = 5 * time.Second
)

func connectionsCommand() *cli.Command {
	return &cli.Command{
		Name:  "connections",
		Usage: "measure one broker with many client connections, idle and under load",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/junctionwharf", Usage: "the broker's program"},
			&cli.StringFlag{
				Name: "connections", Value: "500,1500,3550", Usage: "numbers of connections, idle after one request",
			},
			&cli.StringFlag{
				Name: "rates", Value: "0,250,1075", Usage: "rates of the load on other connections, requests a second",
			},
			&cli.DurationFlag{Name: "for", Value: 4 * time.Second, Usage: "length of a run"},
			&cli.IntFlag{Name: "nodes", Value: 64},
			&cli.IntFlag{Name: "volumes", Value: 2000},
			&cli.FloatFlag{Name: "memory", Value: 256, Usage: "the broker's memory limit, MB"},
			&cli.IntFlag{Name: "sockets", Value: 16384, Usage: "the broker's socket limit; a quarter may be idle"},
			&cli.StringFlag{
				Name: "json", Value: "docs/measurements/capacity/connections.json",
				Usage: "write all figures to `FILE`",
			},
		},
		Action: measureConnections,
	}
}

// parseNumbers parses numbers from 0 to 100000 that are separated by commas.
func parseNumbers(text string) ([]float64, error) {
	var numbers []float64
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.ParseFloat(part, 64)
		if err != nil || !(n >= 0) || n > 100_000 {
			return nil, fmt.Errorf("%q is not within 0 to 100000", part)
		}
		numbers = append(numbers, n)
	}
	return numbers, nil
}

func measureConnections(ctx context.Context, cmd *cli.Command) error {
	counts, err := parseNumbers(cmd.String("connections"))
	if err != nil {
		return fmt.Errorf("--connections: %w", err)
	}
	rates, err := parseNumbers(cmd.String("rates"))
	if err != nil {
		return fmt.Errorf("--rates: %w", err)
	}
	bed, err := newTestbed(cmd.String("program"), cmd.Int("nodes"), 2*time.Millisecond)
	if err != nil {
		return err
	}
	defer bed.close()
	bed.limits.MemoryMB = cmd.Float("memory")
	bed.limits.Sockets = cmd.Int("sockets")
	var costs []capacity.ConnectionCost
	for _, count := range append([]float64{0}, counts...) {
		for _, rate := range rates {
			cost, err := bed.measureIdleConnections(ctx, cmd, int(count), rate)
			if err != nil {
				return fmt.Errorf("%.0f connections at %.0f requests a second: %w", count, rate, err)
			}
			fmt.Printf("%d connections, %.0f a second: %d open at the end, %.1f MB, %.4f of a core, served %d of %d\n",
				cost.Connections, cost.Rate, cost.Open, cost.MemoryMB, cost.CPU, cost.Served, cost.Sent)
			costs = append(costs, cost)
		}
	}
	return saveJSON(cmd, costs)
}

// measureIdleConnections starts a broker, opens connections that send one request each, and measures the broker while
// other connections carry the load.
func (b *testbed) measureIdleConnections(
	ctx context.Context, cmd *cli.Command, count int, rate float64,
) (capacity.ConnectionCost, error) {
	cost := capacity.ConnectionCost{Connections: count, Rate: rate}
	process, err := b.startBroker(ctx, noMetrics)
	if err != nil {
		return cost, err
	}
	defer process.kill()
	conns := make([]net.Conn, count)
	defer func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}()
	if err := openConnections(conns, process.address, len(b.nodes)); err != nil {
		return cost, err
	}
	start := time.Now()
	cpuBefore, _ := fleetharness.ProcessUsage(process.command.Process.Pid)
	if rate > 0 {
		err = b.loadBesideConnections(ctx, cmd, process, &cost)
	} else {
		err = sleep(ctx, cmd.Duration("for"))
	}
	if err != nil {
		return cost, err
	}
	cpuAfter, memoryMB := fleetharness.ProcessUsage(process.command.Process.Pid)
	cost.CPU = (cpuAfter - cpuBefore) / time.Since(start).Seconds()
	cost.MemoryMB = memoryMB
	cost.Open = countOpen(conns)
	return cost, ctx.Err()
}

// loadBesideConnections sends the load of cost.Rate and records its result in cost.
func (b *testbed) loadBesideConnections(
	ctx context.Context, cmd *cli.Command, process *brokerProcess, cost *capacity.ConnectionCost,
) error {
	traffic, err := b.traffic(cmd, cost.Rate, 1)
	if err != nil {
		return err
	}
	result, err := load.Run(ctx, traffic, load.Options{
		Addresses: []string{process.address}, MaxConnections: loadConnections,
	})
	if err != nil {
		return err
	}
	cost.Sent = result.All.Sent()
	cost.Served = result.All.Counts[load.Served]
	cost.P99Micros = result.All.Latency.ValueAtPercentile(99)
	return nil
}

// sleep waits for a duration, or returns an error when ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// openConnections opens all connections of conns, several at a time. The caller closes them, also after an error.
func openConnections(conns []net.Conn, address string, shards int) error {
	results := make(chan error, connectionOpeners)
	for first := range connectionOpeners {
		go func() {
			var err error
			for i := first; i < len(conns) && err == nil; i += connectionOpeners {
				conns[i], err = openConnection(address, i, i%shards)
			}
			results <- err
		}()
	}
	for range connectionOpeners {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

// openConnection opens a connection, sends one request and reads its answer.
func openConnection(address string, number, shard int) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(firstAnswerTimeout))
	key := fmt.Sprintf("%016x", number)
	attributes := fmt.Sprintf("c=lesson-read,t=completo,d=750,volume=%s,units=1,shard=%d,hosts=1", key, shard)
	// the read fails if this write failed
	_, _ = conn.Write(load.AppendCommand(nil, "BLK.READ", key, fmt.Sprintf("held-%d", number), attributes))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "$") && !strings.HasPrefix(line, "-BUSY") {
		err = fmt.Errorf("connection %d: unexpected answer %q", number, line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, conn.SetDeadline(time.Time{})
}

// countOpen counts the connections that the broker has not closed. A read from a closed connection returns io.EOF.
func countOpen(conns []net.Conn) int {
	open := 0
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := conn.Read(make([]byte, 1<<10)); !errors.Is(err, io.EOF) {
			open++
		}
	}
	return open
}
