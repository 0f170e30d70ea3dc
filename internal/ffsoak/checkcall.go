package ffsoak

import (
	"net/http"
	"slices"
	"strings"

	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// settled are the reasons for which a call is refused before anything is sent on.
var settled = []string{"limit", "noRoute", "forbidden", "unauthenticated"}

// answerFindings are the findings on answers, with the parts that the report counts apart.
type answerFindings struct {
	Finding
	crossed int
	cut     int
}

// checkWholeAnswer judges that each answer is, byte by byte, one that a target
// gave to this very call.
func checkWholeAnswer(x *index) answerFindings {
	f := answerFindings{Finding: Finding{Promise: PromiseWholeAnswer}}
	for i := range x.Calls {
		c := &x.Calls[i]
		if c.Outcome != ffclient.OutcomeRan {
			continue
		}
		x.checkAnswer(&f, c)
		f.exercised(c.Status == http.StatusOK && x.disturbed(c, nil))
	}
	return f
}

func (x *index) checkAnswer(f *answerFindings, c *Call) {
	if c.Status != http.StatusOK {
		if len(x.byKey[c.Key]) == 0 {
			f.violated(x.callTrace("said to have run, but no target ran it", c)...)
		}
		return
	}
	e, ok := x.byAnswer[c.AnswerDigest]
	switch {
	case !ok || c.Answer == nil || !c.Answer.Whole():
		f.cut++
		f.violated(x.callTrace("the answer is none that a target gave", c)...)
	case keyOf(e.Path) != c.Key || e.BodyDigest != c.BodyDigest || e.Method != c.Method:
		f.crossed++
		f.violated("the answer belongs to another call", line("call", c), line("execution", e))
	case !c.Token && !isAttempt(e.CallID, c.CallID):
		f.crossed++
		f.violated("the answer belongs to another attempt", line("call", c), line("execution", e))
	}
}

// isAttempt reports whether an identifier is that of an attempt of the call.
func isAttempt(attempt, call string) bool {
	return call != "" && strings.HasPrefix(attempt, call+".")
}

// checkNotRun judges that no call that was refused as not run ran at any target.
func checkNotRun(x *index) Finding {
	f := Finding{Promise: PromiseNotRun}
	for i := range x.Calls {
		c := &x.Calls[i]
		if c.Outcome != ffclient.OutcomeNotRun {
			continue
		}
		if len(x.byKey[c.Key]) > 0 {
			f.violated(x.callTrace("refused as not run, but a target ran it", c)...)
		}
		if attempts := x.byCallID[c.CallID]; c.CallID != "" && len(attempts) > 0 {
			f.violated(append([]string{"refused as not run, but a target ran an attempt", line("call", c)}, linesOf(attempts)...)...)
		}
		f.exercised(!slices.Contains(settled, c.Reason) && x.meanwhile(c))
	}
	return f
}

// checkAtMostOnce judges that no call that is not idempotent ran twice.
func checkAtMostOnce(x *index) Finding {
	f := Finding{Promise: PromiseAtMostOnce}
	for i := range x.Calls {
		c := &x.Calls[i]
		if c.Idempotent {
			continue
		}
		runs := x.byKey[c.Key]
		if len(runs) > 1 {
			f.violated(x.callTrace("not idempotent, but ran more than once", c)...)
		}
		f.exercised(len(runs) > 0 && c.Outcome != ffclient.OutcomeNotRun && x.disturbed(c, nil))
	}
	x.checkStrangers(&f)
	return f
}

// checkStrangers judges that every execution belongs to a call that was sent.
func (x *index) checkStrangers(f *Finding) {
	for _, e := range x.Executions {
		if x.calls[keyOf(e.Path)] == nil {
			f.violated("a target ran a call that nobody sent", line("execution", e))
		}
	}
}

// runsOf returns the executions of a call at the target of a VM.
func (x *index) runsOf(c *Call, vm string) []ffstand.Execution {
	var runs []ffstand.Execution
	for _, e := range x.byKey[c.Key] {
		if e.Target == vm {
			runs = append(runs, e)
		}
	}
	return runs
}
