package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// upload is one attempt of a consumer to upload a body.
type upload struct {
	id, digest string
	length     int
	status     int
	sentAt     time.Time
}

// The deployment of chunked and slowEnd: as many workers of the photo desk that one is a
// share of less than 0.15.
const ledgers, desks = 4, 7

func deskServices() []string {
	return append(slices.Repeat([]string{"ledger"}, ledgers), slices.Repeat([]string{"photo-desk"}, desks)...)
}

// chunked lets consumers upload bodies in chunks, of up to 1.7 MB, while one worker of the
// service after the other crashes and starts again.
func chunked(rec *record, trouble bool) (bool, error) {
	services := deskServices()
	f, err := newFleet(rec, services, []string{"zone-1", "zone-2", "zone-3"}, "")
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, m := range f.machines {
		m.worker.work = func(*http.Request) time.Duration { return 60 * time.Millisecond }
	}
	f.configure(7, []route{
		{name: "r-photo", prefix: "/photo/", kind: "upload", service: "photo-desk", timeoutS: 1.2, targetS: 0.3, priority: 1},
		{name: "r-tally", prefix: "/tally/", kind: "safe", service: "ledger", timeoutS: 0.8, targetS: 0.2, priority: 2},
	})
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var uploads []upload
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var consumers sync.WaitGroup
	// Consumers stand beside the workers of the ledger, and upload to the photo desk.
	for n := range 8 {
		m := f.machines[n%ledgers]
		consumers.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			for i := 0; ctx.Err() == nil; i++ {
				u := send(rec, m, fmt.Sprintf("%04x%04x", n, i), 1_100_000+rng.IntN(600_000), rng)
				mu.Lock()
				uploads = append(uploads, u)
				mu.Unlock()
				time.Sleep(time.Duration(150+rng.IntN(100)) * time.Millisecond)
			}
		})
	}
	const rounds = 6
	for i := range rounds {
		time.Sleep(3 * time.Second)
		w := f.machines[ledgers+i%desks].worker
		if trouble {
			w.crash()
		}
		time.Sleep(4500 * time.Millisecond)
		if trouble {
			rec.note("worker %s starts again", w.id)
			if err := w.start(); err != nil {
				return false, err
			}
		}
	}
	stop()
	consumers.Wait()
	time.Sleep(500 * time.Millisecond)
	return judgeUploads(rec, f, uploads), nil
}

// send sends one upload in chunks, and waits for its answer.
func send(rec *record, m *machine, id string, length int, rng *rand.Rand) upload {
	body := make([]byte, length)
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	sum := sha256.Sum256(body)
	u := upload{id: id, length: length, digest: hex.EncodeToString(sum[:8]), sentAt: time.Now()}
	const deadline = 1200 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	// A reader without a known length makes the client send chunks.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.outbound+"/photo/batch", struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return u
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		u.status = resp.StatusCode
	}
	rec.note("upload %s by a consumer at %s: %d bytes, digest %s; answer %d %v", id, m.name, length, u.digest, u.status, err)
	return u
}

// judgeUploads reports whether a worker ran an upload with another body than was sent.
func judgeUploads(rec *record, f *fleet, uploads []upload) bool {
	sent := make(map[string]upload)
	answered := 0
	for _, u := range uploads {
		sent[u.id] = u
		if u.status == http.StatusOK {
			answered++
		}
	}
	ran, changed, accepted := 0, 0, 0
	for _, m := range f.machines {
		for _, r := range m.worker.ran() {
			ran++
			u, ok := sent[r.id]
			if ok && u.digest == r.digest {
				continue
			}
			changed++
			if u.status == http.StatusOK {
				accepted++
			}
			rec.say("UNASKED: worker %s ran upload %s with %d bytes, digest %s; the consumer sent %d bytes, digest %s, and was answered %d",
				r.instance, r.id, r.length, r.digest, u.length, u.digest, u.status)
		}
	}
	rec.say("%d uploads sent, %d answered 200, %d run, %d run with another body, %d of these answered 200", len(uploads), answered, ran, changed, accepted)
	return changed > 0
}
