package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

var errRESP = errors.New("malformed RESP")

// encodeCommand encodes a command as an array of bulk strings.
func encodeCommand(words ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return []byte(b.String())
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	if len(line) < 3 || !strings.HasSuffix(line, "\r\n") {
		return "", fmt.Errorf("%w: line %.40q", errRESP, line)
	}
	return line[:len(line)-2], nil
}

func readBulk(r *bufio.Reader) (string, bool, error) {
	line, err := readLine(r)
	if err != nil {
		return "", false, err
	}
	size, err := strconv.Atoi(line[1:])
	if line[0] != '$' || err != nil || size < -1 {
		return "", false, fmt.Errorf("%w: bulk header %.40q", errRESP, line)
	}
	if size < 0 {
		return "", false, nil
	}
	body := make([]byte, size+2)
	if _, err := io.ReadFull(r, body); err != nil {
		return "", false, err
	}
	if string(body[size:]) != "\r\n" {
		return "", false, fmt.Errorf("%w: bulk end", errRESP)
	}
	return string(body[:size]), true, nil
}

// readCommand reads an array of bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(line[1:])
	if line[0] != '*' || err != nil || count < 1 {
		return nil, fmt.Errorf("%w: array header %.40q", errRESP, line)
	}
	words := make([]string, count)
	for i := range words {
		if words[i], _, err = readBulk(r); err != nil {
			return nil, err
		}
	}
	return words, nil
}

// answerKind is how a broker answered.
type answerKind string

const (
	served  answerKind = "served"
	refused answerKind = "refused"
	failed  answerKind = "failed"
	pong    answerKind = "pong"
)

// answer is a broker's answer to one command.
type answer struct {
	kind answerKind
	text string
}

// readAnswer reads a broker's answer.
func readAnswer(r *bufio.Reader) (answer, error) {
	next, err := r.Peek(1)
	if err != nil {
		return answer{}, err
	}
	switch next[0] {
	case '$':
		value, notNull, err := readBulk(r)
		if err != nil {
			return answer{}, err
		}
		if !notNull {
			return answer{kind: failed, text: "null"}, nil
		}
		return answer{kind: served, text: value}, nil
	case '*':
		line, err := readLine(r)
		if err != nil {
			return answer{}, err
		}
		count, err := strconv.Atoi(line[1:])
		if err != nil || count < 1 {
			return answer{}, errRESP
		}
		parts := make([]string, count)
		for i := range parts {
			if parts[i], _, err = readBulk(r); err != nil {
				return answer{}, err
			}
		}
		return answer{kind: served, text: parts[0]}, nil
	}
	line, err := readLine(r)
	if err != nil {
		return answer{}, err
	}
	switch {
	case line == "+PONG":
		return answer{kind: pong, text: line}, nil
	case strings.HasPrefix(line, "-BUSY"):
		return answer{kind: refused, text: line}, nil
	}
	return answer{kind: failed, text: line}, nil
}
