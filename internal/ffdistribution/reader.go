package ffdistribution

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplatform"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// watchTime is how long one watch of the platform waits; short, so that a
	// connection that went silent for good is soon given up.
	watchTime = 2 * time.Second
	// roleInterval is the time after which a daemon looks again whether it reads the platform.
	roleInterval = 500 * time.Millisecond
	// corruptAttempts is the number of times that a damaged piece is read from the platform.
	corruptAttempts = 3
	// listBytesPerSecond bounds what the reading of the list costs one daemon.
	listBytesPerSecond = 8 << 10
	// vmBytes is the usual size of one VM in the platform's list, in bytes.
	vmBytes = 200
)

// runManifestWatch watches the platform's manifest while this daemon is a reader.
func (n *Node) runManifestWatch(ctx context.Context) error {
	r := manifestReader{n: n, wait: newBackoff()}
	for ctx.Err() == nil {
		if !n.learnt.Load() || !n.role().manifest {
			_ = waitUntil(ctx, time.Now().Add(roleInterval))
			continue
		}
		if err := r.step(ctx); err != nil {
			n.Log.Debug().Err(err).Msg("manifest not read")
			_ = waitUntil(ctx, time.Now().Add(r.wait.NextBackOff()))
			continue
		}
		r.wait.Reset()
	}
	return nil
}

type backOff interface {
	NextBackOff() time.Duration
	Reset()
}

// manifestReader follows the platform's manifest.
type manifestReader struct {
	n        *Node
	wait     backOff
	revision uint64
	// corrupt counts the attempts at the version that came damaged.
	corrupt int
	version ffconfig.Version
}

// step waits for one change and brings it into force.
func (r *manifestReader) step(ctx context.Context) error {
	value, err := r.next(ctx)
	if err != nil {
		return err
	}
	if value.Revision == r.revision {
		return nil
	}
	if err := r.accept(ctx, value); err != nil {
		return err
	}
	r.revision = value.Revision
	return nil
}

func (r *manifestReader) next(ctx context.Context) (ffplatform.Value, error) {
	r.n.counts.platformCalls.Add(1)
	if r.n.Budget.MayWatch() {
		return r.n.Platform.Watch(ctx, ffplatform.ManifestKey, r.revision, time.Now().Add(watchTime))
	}
	return r.n.Platform.Read(ctx, ffplatform.ManifestKey)
}

// accept brings a manifest of the platform into force if it is newer.
func (r *manifestReader) accept(ctx context.Context, value ffplatform.Value) error {
	store := r.n.Store
	e, err := decodeManifest(value.Content)
	if err != nil {
		store.RefuseFromPlatform(ffconfig.Version{Digest: ffconfig.DigestOf(value.Content)}, value.Revision, err)
		return nil
	}
	store.Observe(e.version)
	if !store.WantsFromPlatform(e.version, value.Revision) {
		return nil
	}
	err = r.n.complete(ctx, e, origin{foreign: true})
	if KindOf(err) == KindRefused {
		return nil
	}
	if KindOf(err) == KindCorrupt && r.giveUp(e.version) {
		store.RefuseFromPlatform(e.version, value.Revision, err)
		return nil
	}
	return err
}

// giveUp counts a damaged reading of v and reports whether it was the last attempt.
func (r *manifestReader) giveUp(v ffconfig.Version) bool {
	if r.version != v || r.corrupt == corruptAttempts {
		r.version, r.corrupt = v, 0
	}
	r.corrupt++
	return r.corrupt == corruptAttempts
}

// runListWatch watches the platform's list of VMs while this daemon is its reader.
func (n *Node) runListWatch(ctx context.Context) error {
	r := listReader{n: n}
	wait := newBackoff()
	for ctx.Err() == nil {
		if !n.learnt.Load() || !n.role().list {
			_ = waitUntil(ctx, time.Now().Add(roleInterval))
			continue
		}
		until, err := r.step(ctx)
		if err != nil {
			n.Log.Debug().Err(err).Msg("VM list not read")
			until = time.Now().Add(wait.NextBackOff())
		} else {
			wait.Reset()
		}
		_ = waitUntil(ctx, until)
	}
	return nil
}

// listReader follows the platform's list of VMs.
type listReader struct {
	n        *Node
	revision uint64
}

// step waits for one change of the list and returns until when to leave the
// platform alone, so that a long list costs no more than its bytes a second.
func (r *listReader) step(ctx context.Context) (time.Time, error) {
	list, err := r.next(ctx)
	if err != nil || list.Revision == r.revision {
		return time.Time{}, err
	}
	r.revision = list.Revision
	r.n.acceptList(ffmember.NewList(list.Revision, list.VMs), true)
	return time.Now().Add(time.Duration(len(list.VMs)*vmBytes) * time.Second / listBytesPerSecond), nil
}

func (r *listReader) next(ctx context.Context) (ffplatform.VMList, error) {
	r.n.counts.platformCalls.Add(1)
	if r.n.Budget.MayWatch() {
		return r.n.Platform.WatchVMs(ctx, r.revision, time.Now().Add(watchTime))
	}
	return r.n.Platform.VMs(ctx)
}

// acceptList takes a list that is newer and passes it on.
func (n *Node) acceptList(list *ffmember.List, foreign bool) {
	if n.Members.ApplyList(list) {
		offer(n.news, news{foreign: foreign})
	}
}
