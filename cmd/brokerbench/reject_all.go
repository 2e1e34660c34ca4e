package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"runtime"
	"time"

	"github.com/tidwall/redcon"
	"github.com/urfave/cli/v3"
)

// rejectAllIdleTimeout closes idle connections, because clients may disappear without closing theirs.
const rejectAllIdleTimeout = time.Minute

// rejectAllCommand is a minimal server that reads each request and rejects it. It measures the cost of a rejection
// without any decision. In the curve command it takes the place of a broker (--broker floor=bin/brokerbench), so it
// accepts a broker's command line and environment.
func rejectAllCommand() *cli.Command {
	return &cli.Command{
		Name: "serve",
		Usage: "reject every request, at the cost of reading it and writing an answer: the minimum cost with which " +
			"curve compares a broker",
		Hidden: true,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "site"}},
		Action: func(ctx context.Context, _ *cli.Command) error { return serveRejections(ctx) },
	}
}

// serveRejections accepts connections until ctx ends.
func serveRejections(ctx context.Context) error {
	var config struct {
		Listen string
		Limits struct{ Cores float64 }
	}
	text, err := os.ReadFile(os.Getenv("BALANCER_CONFIG"))
	if err == nil {
		err = json.Unmarshal(text, &config)
	}
	if err != nil {
		return fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Limits.Cores))))
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	acceptAll(listener, rejectAll)
	return nil
}

// rejectAll rejects each command of a connection until the connection ends. It answers PING, the command with one
// argument, with PONG.
func rejectAll(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := redcon.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(rejectAllIdleTimeout))
		command, err := reader.ReadCommand()
		if err != nil {
			return
		}
		answer := "-BUSY 100\r\n"
		if isPing := len(command.Args) == 1; isPing {
			answer = "+PONG\r\n"
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}
