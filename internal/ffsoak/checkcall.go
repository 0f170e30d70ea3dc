package ffsoak

import (
	"net/http"
	"slices"
	"strings"

	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// preSendReasons are the reasons for which an entry refuses a call before it
// forwards anything.
var preSendReasons = []string{"limit", "noRoute", "forbidden", "unauthenticated"}

// answerFindings are the findings on answers, with the counts that the report lists separately.
type answerFindings struct {
	Finding
	crossed int
	cut     int
}

// checkWholeAnswer checks that each answer is, byte for byte, one that a target
// returned for the same call.
func checkWholeAnswer(x *index) answerFindings {
	f := answerFindings{Finding: Finding{Promise: PromiseWholeAnswer}}
	for i := range x.Calls {
		c := &x.Calls[i]
		if c.Outcome != ffclient.OutcomeRan {
			continue
		}
		x.checkAnswer(&f, c)
		f.exercised(c.Status == http.StatusOK && x.affectedByFault(c, nil))
	}
	return f
}

func (x *index) checkAnswer(f *answerFindings, c *Call) {
	if c.Status != http.StatusOK {
		if len(x.byKey[c.Key]) == 0 {
			f.violated(x.callTrace("reported as run, but no target ran it", c)...)
		}
		return
	}
	e, ok := x.byAnswer[c.AnswerDigest]
	switch {
	case !ok || c.Answer == nil || !c.Answer.Intact():
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

// isAttempt reports whether attempt is the identifier of an attempt of the call.
func isAttempt(attempt, call string) bool {
	return call != "" && strings.HasPrefix(attempt, call+".")
}

// checkNotRun checks that no call that was refused as not run was run by any target.
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
		f.exercised(!slices.Contains(preSendReasons, c.Reason) && x.duringFault(c))
	}
	return f
}

// checkAtMostOnce checks that no non-idempotent call ran more than once.
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
		f.exercised(len(runs) > 0 && c.Outcome != ffclient.OutcomeNotRun && x.affectedByFault(c, nil))
	}
	x.checkUnknownCalls(&f)
	return f
}

// checkUnknownCalls checks that every execution belongs to a call that was sent.
func (x *index) checkUnknownCalls(f *Finding) {
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
