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

// The agree calls of the console.
const (
	statusCall   = "status"
	membersCall  = "members"
	historyCall  = "history"
	diffCall     = "diff"
	exportCall   = "export"
	proposeCall  = "propose"
	rollbackCall = "rollback"
)

// answerEnd ends an answer that came whole.
const answerEnd = "EOT\n"

// answerMargin is how long an answer may be on its way, beyond the console's own timeout.
const answerMargin = time.Second

// exitCodes are those of refused calls, by the kind of the refusal; 1 is for everything else. Scripts of operators
// know them.
var exitCodes = map[string]int{
	"expected": 3, // another version is in force
	"invalid":  4, // the proposal is faulty
	"none":     5, // no leader answers
	"unknown":  6, // whether the change is in force is not known
}

// errNoConsole is of a configuration without a console.
var errNoConsole = errors.New("console: no address in the configuration")

// refusal is the answer to a call that failed.
type refusal struct {
	Error string `json:"error"`
	Kind  string `json:"kind"`
}

// callAgree makes an agree call at the console and returns its answer; a refusal is an error with its exit code.
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
		_, _ = os.Stdout.Write(answer) // the exit code says the same
	}
	code, known := exitCodes[refused.Kind]
	if !known {
		code = 1
	}
	return nil, cli.Exit("junctionwharf: "+refused.Error, code)
}
