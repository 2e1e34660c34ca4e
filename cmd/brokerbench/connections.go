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

func connectionsCommand() *cli.Command {
	return &cli.Command{
		Name:  "connections",
		Usage: "measure one broker that holds many clients' connections, idle and under load",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/junctionwharf", Usage: "the broker"},
			&cli.StringFlag{Name: "connections", Value: "500,1500,3550", Usage: "held open, each having had one request"},
			&cli.StringFlag{Name: "rates", Value: "0,250,1075", Usage: "requests a second on connections beside them"},
			&cli.DurationFlag{Name: "for", Value: 4 * time.Second, Usage: "length of a run"},
			&cli.IntFlag{Name: "nodes", Value: 64},
			&cli.IntFlag{Name: "volumes", Value: 2000},
			&cli.FloatFlag{Name: "memory", Value: 256, Usage: "the broker's, MB"},
			&cli.IntFlag{Name: "sockets", Value: 16384, Usage: "the broker's: a quarter of them may be idle"},
			&cli.StringFlag{Name: "json", Value: "docs/measurements/capacity/connections.json", Usage: "write all figures to `FILE`"},
		},
		Action: measureConnections,
	}
}

func numbers(text string) (list []float64, err error) {
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.ParseFloat(part, 64)
		if err != nil || !(n >= 0) || n > 100_000 {
			return nil, fmt.Errorf("%q is not within 0 to 100000", part)
		}
		list = append(list, n)
	}
	return list, nil
}

func measureConnections(ctx context.Context, cmd *cli.Command) error {
	counts, err := numbers(cmd.String("connections"))
	if err != nil {
		return fmt.Errorf("--connections: %w", err)
	}
	rates, err := numbers(cmd.String("rates"))
	if err != nil {
		return fmt.Errorf("--rates: %w", err)
	}
	f, err := newFleet(cmd.String("program"), cmd.Int("nodes"), 2*time.Millisecond)
	if err != nil {
		return err
	}
	defer f.close()
	f.memory, f.sockets = cmd.Float("memory"), cmd.Int("sockets")
	var all []capacity.ConnectionCost
	for _, count := range append([]float64{0}, counts...) {
		for _, rate := range rates {
			h, err := f.holdConnections(ctx, cmd, int(count), rate)
			if err != nil {
				return fmt.Errorf("%.0f connections at %.0f a second: %w", count, rate, err)
			}
			fmt.Printf("%d connections, %.0f a second: %d open at the end, %.1f MB, %.4f of a core, served %d of %d\n", h.Connections, h.Rate, h.Open, h.MemoryMB, h.CPU, h.Served, h.Sent)
			all = append(all, h)
		}
	}
	return saveJSON(cmd, all)
}

// holdConnections has a new broker hold connections that had a request each, and meet a load on others.
func (f *fleet) holdConnections(ctx context.Context, cmd *cli.Command, count int, rate float64) (capacity.ConnectionCost, error) {
	h := capacity.ConnectionCost{Connections: count, Rate: rate}
	r, err := f.start(ctx, "", "", 10)
	if err != nil {
		return h, err
	}
	defer r.kill()
	conns := make([]net.Conn, count)
	defer func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}()
	// all within a moment: a broker may end one that has said nothing for ten seconds
	faults := make(chan error, openers)
	for first := range openers {
		go func() {
			var err error
			for i := first; i < count && err == nil; i += openers {
				conns[i], err = f.holdOne(r.address, i)
			}
			faults <- err
		}()
	}
	for range openers {
		if err := <-faults; err != nil {
			return h, err
		}
	}
	began := time.Now()
	before, _ := fleetharness.ProcessUsage(r.command.Process.Pid)
	if rate > 0 {
		t, err := f.traffic(cmd, rate, 1)
		if err != nil {
			return h, err
		}
		result, err := load.Run(ctx, t, load.Options{Addresses: []string{r.address}, MaxConnections: 2000})
		if err != nil {
			return h, err
		}
		h.Sent, h.Served, h.P99Micros = result.All.Sent(), result.All.Counts[load.Served], result.All.Latency.ValueAtPercentile(99)
	} else {
		select {
		case <-ctx.Done():
			return h, ctx.Err()
		case <-time.After(cmd.Duration("for")):
		}
	}
	h.CPU, h.MemoryMB = fleetharness.ProcessUsage(r.command.Process.Pid)
	h.CPU = (h.CPU - before) / time.Since(began).Seconds()
	for _, conn := range conns { // one that the broker ended reads an end of file
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := conn.Read(make([]byte, 1<<10)); !errors.Is(err, io.EOF) {
			h.Open++
		}
	}
	return h, ctx.Err()
}

// openers is how many connections are opened at a time.
const openers = 32

// holdOne opens a connection and has it ask once.
func (f *fleet) holdOne(address string, number int) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	list := fmt.Sprintf("c=lesson-read,t=completo,d=750,volume=%016x,units=1,shard=%d,hosts=1", number, number%len(f.nodes))
	_, _ = conn.Write(load.AppendCommand(nil, "BLK.READ", fmt.Sprintf("%016x", number), fmt.Sprintf("held-%d", number), list))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "$") && !strings.HasPrefix(line, "-BUSY") {
		err = fmt.Errorf("connection %d was answered %q", number, line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, conn.SetDeadline(time.Time{})
}
