// Command rig starts a small deployment on loopback addresses, with stand-ins of the store,
// the workers and the consumers, and plays one case of the review.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"chunked":  chunked,
	"leave":    leave,
	"slowend":  slowEnd,
	"pipeline": pipeline,
	"moved":    moved,
}

func main() {
	// The kernel ends the daemons with the thread that started them.
	runtime.LockOSThread()
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER, in the repository's root")
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitFailed
	case broken:
		rec.say("the rule is broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
