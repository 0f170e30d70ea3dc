// Command rig2 plays the cases of the second review: a small deployment of real daemons on
// loopback addresses, with stand-ins of the platform, the workers and the consumers.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"time"

	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

// outcomes of a case, which are the exit statuses.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

var cases = map[string]func(f *fleet, trouble bool) (int, error){}

func main() {
	// The daemons get a signal when the thread that started them ends.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(noRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	defer func() { _ = file.Close() }()
	r := &record{w: io.MultiWriter(file, os.Stdout), start: time.Now()}
	f, err := newFleet(r)
	if err != nil {
		r.add("the case could not run: %v", err)
		return noRun
	}
	defer f.close()
	outcome, err := cases[name](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.add("the case could not run: %v", err)
		return noRun
	}
	r.add("verdict   %s", map[int]string{held: "the rule held", broken: "the rule was broken", noRun: "nothing to judge"}[outcome])
	return outcome
}

// ffEntry returns the entry of a worker.
func ffEntry(w *worker) ffstandin.TargetEntry {
	return ffstandin.TargetEntry{
		ID: w.id, Service: w.machine.service, Address: w.machine.appAddress(), DataCentre: w.machine.zone,
		State: w.state, Slots: 6, Born: w.born, Sequence: w.seq,
	}
}
