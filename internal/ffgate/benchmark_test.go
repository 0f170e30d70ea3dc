package ffgate_test

import (
	"context"
	"crypto/rand"
	"strconv"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffgate"
	"fireflyfall.dev/fireflyfall/internal/fftoken"
)

// instantTarget answers every call immediately.
type instantTarget struct{ reply ffcall.Reply }

// Do implements ffgate.Target.
func (i *instantTarget) Do(context.Context, *ffcall.Call) (*ffcall.Reply, error) {
	return &i.reply, nil
}

// BenchmarkDo measures the overhead of the gate per call.
func BenchmarkDo(b *testing.B) {
	for _, route := range []string{"lookup", "deposit"} {
		b.Run(route, func(b *testing.B) { benchmarkDo(b, route) })
	}
}

func benchmarkDo(b *testing.B, route string) {
	issuer, err := fftoken.NewIssuer("vm", 1, time.Now(), rand.Reader)
	if err != nil {
		b.Fatal(err)
	}
	g := &ffgate.Gate{
		VM: "vm", Incarnation: 1, Service: "ledger", Issuer: issuer, MaxRecords: 1 << 30,
		Target: &instantTarget{ffcall.Reply{Status: 200, Body: make([]byte, 256)}}, Snapshots: &snapshotSource{newSnapshot(1, allRoutes...)},
	}
	r, id := newRoute(route), 0
	b.ReportAllocs()
	for b.Loop() {
		id++
		c := &ffcall.Call{ID: strconv.Itoa(id), Customer: "a", Share: 1, Route: r, Method: "POST", Path: r.Path, Deadline: time.Now().Add(time.Second)}
		if _, err := g.Do(context.Background(), c); err != nil {
			b.Fatal(err)
		}
	}
}
