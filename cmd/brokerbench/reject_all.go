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

// rejectAllIdleTimeout ends connections whose clients have gone without a word.
const rejectAllIdleTimeout = time.Minute

// rejectAllCommand is the least that a program can be which reads each request and answers it: what rejections cost
// before anything is decided. It stands in for a broker in curve, --broker floor=bin/brokerbench, so it takes a
// broker's command line and environment.
func rejectAllCommand() *cli.Command {
	return &cli.Command{
		Name: "serve",
		Usage: "refuse every request, at the cost of reading it and writing an answer: the floor that curve compares " +
			"a broker with",
		Hidden: true,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "site"}},
		Action: func(ctx context.Context, _ *cli.Command) error { return serveRejections(ctx) },
	}
}

// serveRejections serves until ctx ends.
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

// rejectAll answers each command of a connection until it ends.
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
