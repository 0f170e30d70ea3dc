package ffqueue_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffqueue"
)

// BenchmarkPushNext measures one Next, Release and Push with many items waiting.
func BenchmarkPushNext(b *testing.B) {
	for _, customers := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			q := ffqueue.New[int](ffqueue.Limits{Slots: 1, Length: 1 << 20})
			items := make([]*item, 2*customers)
			for i := range items {
				items[i] = &item{Customer: strconv.Itoa(i % customers), Share: 1, Deadline: epoch.Add(time.Hour), Estimate: ffqueue.Estimate{Cost: time.Millisecond}}
				if _, err := q.Push(epoch, items[i]); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				it, _ := q.Next(epoch)
				q.Release(it, time.Millisecond)
				if _, err := q.Push(epoch, it); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
