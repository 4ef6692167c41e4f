// Command drive plays the scripted cases of the second review. It starts the stand-ins of the users'
// platform in its own process and hosts as processes of their own, and exits with 1 if the rule of the
// case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case. It reports whether the rule was broken.
type play func(c *stage) (broken bool, err error)

var plays = map[string]play{
	"revoked-upload":   playRevokedUpload,
	"kept-connections": playKeptConnections,
	"left-callers":     playLeftCallers,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE FOLDER")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	c, err := newStage(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	broken, err := plays[os.Args[1]](c)
	switch {
	case err != nil:
		c.note("not run: %v", err)
		return exitNotRun
	case broken:
		c.note("result: the rule was broken")
		return exitBroken
	default:
		c.note("result: the rule held")
		return exitHeld
	}
}
