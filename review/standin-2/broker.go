package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// broker is one process of the project's own, started with the command of the deploy file.
type broker struct {
	name, listen string
	configPath   string
	config       object
	env          []string
	root, run    string
	logPath      string
	cmd          *exec.Cmd
	ended        chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*?)"`)

// runCommand returns the command `run` of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		return "", errors.New("deploy/balancer.toml has no run")
	}
	return string(match[1]), nil
}

// freePort returns a free port of the loopback address.
func freePort(network string) (string, error) {
	if network == "udp" {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer conn.Close()
		return conn.LocalAddr().String(), nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// start starts the broker's process and waits until it answers PING.
func (b *broker) start() error {
	if err := b.writeConfig(); err != nil {
		return err
	}
	log, err := os.OpenFile(b.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	b.cmd = exec.Command("/bin/sh", "-c", b.run)
	b.cmd.Dir = b.root
	b.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+b.configPath, "BALANCER_NAME="+b.name,
		"BALANCER_LISTEN="+b.listen, "TMPDIR="+filepath.Dir(b.configPath))
	b.cmd.Stdout, b.cmd.Stderr = log, log
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.cmd.Start(); err != nil {
		return err
	}
	b.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) { _ = cmd.Wait(); close(ended) }(b.cmd, b.ended)
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); {
		select {
		case <-b.ended:
			return fmt.Errorf("broker %s ended at its start: see its log", b.name)
		default:
		}
		if b.ping() == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("broker %s is not ready after 30 s", b.name)
}

func (b *broker) writeConfig() error {
	text, err := json.Marshal(b.config)
	if err != nil {
		return err
	}
	next := b.configPath + ".next"
	if err := os.WriteFile(next, text, 0o644); err != nil {
		return err
	}
	return os.Rename(next, b.configPath)
}

func (b *broker) ping() error {
	conn, err := net.DialTimeout("tcp", b.listen, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(encodeCommand("PING")); err != nil {
		return err
	}
	a, err := readAnswer(bufio.NewReader(conn))
	if err == nil && a.kind != pong {
		err = errors.New("no PONG")
	}
	return err
}

// signal sends a signal to the process that run started: the shell has replaced itself by it.
func (b *broker) signal(s syscall.Signal) { _ = b.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (b *broker) kill() {
	if b.cmd == nil || b.cmd.Process == nil {
		return
	}
	_ = b.cmd.Process.Kill()
	<-b.ended
}

func (b *broker) hasEnded() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}
