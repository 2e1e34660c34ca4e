package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/console"
)

// Names of the console's agree calls.
const (
	statusCall   = "status"
	membersCall  = "members"
	historyCall  = "history"
	diffCall     = "diff"
	exportCall   = "export"
	proposeCall  = "propose"
	rollbackCall = "rollback"
)

// answerEnd is the last line of a complete answer.
const answerEnd = "EOT\n"

// answerMargin is the time to transfer an answer, in addition to the console's own timeout.
const answerMargin = time.Second

// exitCodes maps the kind of a refusal to the exit code of the command. All other failures exit with 1. Operators'
// scripts depend on these codes.
var exitCodes = map[string]int{
	"expected": 3, // another version is active
	"invalid":  4, // the proposal is invalid
	"none":     5, // no leader answers
	"unknown":  6, // it is unknown whether the change is active
}

// errNoConsole is returned if the configuration has no console.
var errNoConsole = errors.New("console: no address in the configuration")

// refusal is the console's JSON answer to a refused call.
type refusal struct {
	Error string `json:"error"`
	Kind  string `json:"kind"`
}

// callAgree makes an agree call at the console and returns the answer. For a refused call it returns an error with the
// exit code of the refusal's kind. With the JSON flag, it also prints the refusal.
func callAgree(cmd *cli.Command, call string) ([]byte, error) {
	c, err := loadConfig(cmd)
	if err != nil {
		return nil, err
	}
	if c.Console == "" {
		return nil, errNoConsole
	}
	text, err := console.Call(c.Console, "agree "+call, console.AgreementTimeout+answerMargin)
	if err != nil {
		return nil, err
	}
	answer, isWhole := bytes.CutSuffix(text, []byte(answerEnd))
	if !isWhole {
		return nil, fmt.Errorf("console: %s", strings.TrimSpace(string(text)))
	}
	var refused refusal
	if json.Unmarshal(answer, &refused) != nil || refused.Error == "" {
		return answer, nil
	}
	if cmd.Bool(jsonFlag) {
		_, _ = os.Stdout.Write(answer) // on a write error the exit code still reports the refusal
	}
	code, known := exitCodes[refused.Kind]
	if !known {
		code = 1
	}
	return nil, cli.Exit("junctionwharf: "+refused.Error, code)
}
