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

// floorCommand is the least that a program can be which reads each request and answers it: what refusals cost before anything is
// decided. It stands in for a broker in curve: --broker floor=bin/brokerbench.
func floorCommand() *cli.Command {
	return &cli.Command{
		Name:   "serve",
		Usage:  "refuse every request, at the cost of reading it and writing an answer: the floor that curve compares a broker with",
		Hidden: true,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "site"}},
		Action: func(ctx context.Context, _ *cli.Command) error {
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
			ln, err := net.Listen("tcp", config.Listen)
			if err != nil {
				return err
			}
			context.AfterFunc(ctx, func() { _ = ln.Close() })
			for {
				conn, err := ln.Accept()
				if err != nil {
					return nil
				}
				go refuseAll(conn)
			}
		},
	}
}

func refuseAll(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := redcon.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		answer := "-BUSY 100\r\n"
		if len(cmd.Args) == 1 {
			answer = "+PONG\r\n"
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}
