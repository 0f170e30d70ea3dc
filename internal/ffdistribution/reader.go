package ffdistribution

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplatform"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// watchTimeout is how long one watch of the platform waits for a change. It is
	// short so that a connection that hangs is soon abandoned.
	watchTimeout = 2 * time.Second
	// roleInterval is the interval at which a daemon that is not a reader checks
	// whether it has become one.
	roleInterval = 500 * time.Millisecond
	// maxCorruptReads is the number of corrupt reads after which a version from
	// the platform is refused.
	maxCorruptReads = 3
	// listBytesPerSecond limits the rate at which one daemon reads the VM list.
	listBytesPerSecond = 8 << 10
	// vmBytes is the typical size of one VM in the platform's list, in bytes.
	vmBytes = 200
)

// runManifestWatch watches the platform's manifest while this daemon is a reader.
func (n *Node) runManifestWatch(ctx context.Context) error {
	r := manifestReader{n: n, wait: newBackoff()}
	for ctx.Err() == nil {
		if !n.synced.Load() || !n.role().manifest {
			n.platformLost.Store(false)
			_ = waitUntil(ctx, time.Now().Add(roleInterval))
			continue
		}
		if err := r.poll(ctx); err != nil {
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

// manifestReader reads the platform's manifest and applies its changes.
type manifestReader struct {
	n        *Node
	wait     backOff
	revision uint64
	// corruptReads counts the corrupt reads of version.
	corruptReads int
	version      ffconfig.Version
}

// poll reads the manifest once and applies it if it changed. A favoured daemon
// waits up to watchTimeout for a change.
func (r *manifestReader) poll(ctx context.Context) error {
	value, err := r.read(ctx)
	r.n.platformLost.Store(err != nil)
	if err != nil {
		return err
	}
	if value.Revision == r.revision {
		return nil
	}
	if err := r.handle(ctx, value); err != nil {
		return err
	}
	r.revision = value.Revision
	return nil
}

func (r *manifestReader) read(ctx context.Context) (ffplatform.Value, error) {
	r.n.counts.platformCalls.Add(1)
	if r.n.Budget.MayWatch() {
		return r.n.Platform.Watch(ctx, ffplatform.ManifestKey, r.revision, time.Now().Add(watchTimeout))
	}
	return r.n.Platform.Read(ctx, ffplatform.ManifestKey)
}

// handle applies a manifest from the platform if it is newer and was not refused.
// A manifest that cannot be decoded and a version that stays corrupt are refused at
// this revision.
func (r *manifestReader) handle(ctx context.Context, value ffplatform.Value) error {
	store := r.n.Store
	e, err := decodeManifest(value.Content)
	if err != nil {
		store.RefuseFromPlatform(ffconfig.Version{Digest: ffconfig.DigestOf(value.Content)}, value.Revision, err)
		return nil
	}
	store.AuditConflict(e.version)
	if !store.ShouldApplyFromPlatform(e.version, value.Revision) {
		return nil
	}
	err = r.n.fetchAndApply(ctx, e, versionSource{external: true})
	if KindOf(err) == KindRefused {
		return nil
	}
	if KindOf(err) == KindCorrupt && r.countCorruptRead(e.version) {
		store.RefuseFromPlatform(e.version, value.Revision, err)
		return nil
	}
	return err
}

// countCorruptRead counts a corrupt read of v and reports whether maxCorruptReads
// is reached.
func (r *manifestReader) countCorruptRead(v ffconfig.Version) bool {
	if r.version != v || r.corruptReads == maxCorruptReads {
		r.version, r.corruptReads = v, 0
	}
	r.corruptReads++
	return r.corruptReads == maxCorruptReads
}

// runListWatch watches the platform's VM list while this daemon is the list reader.
func (n *Node) runListWatch(ctx context.Context) error {
	r := listReader{n: n}
	wait := newBackoff()
	for ctx.Err() == nil {
		if !n.synced.Load() || !n.role().list {
			_ = waitUntil(ctx, time.Now().Add(roleInterval))
			continue
		}
		until, err := r.poll(ctx)
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

// listReader reads the platform's VM list and applies its changes.
type listReader struct {
	n        *Node
	revision uint64
}

// poll reads the list once and applies it if it changed. It returns the time of the
// next read, so that a long list is read at no more than listBytesPerSecond.
func (r *listReader) poll(ctx context.Context) (time.Time, error) {
	list, err := r.read(ctx)
	if err != nil || list.Revision == r.revision {
		return time.Time{}, err
	}
	r.revision = list.Revision
	r.n.applyList(ffmember.NewList(list.Revision, list.VMs), true)
	return time.Now().Add(time.Duration(len(list.VMs)*vmBytes) * time.Second / listBytesPerSecond), nil
}

func (r *listReader) read(ctx context.Context) (ffplatform.VMList, error) {
	r.n.counts.platformCalls.Add(1)
	if r.n.Budget.MayWatch() {
		return r.n.Platform.WatchVMs(ctx, r.revision, time.Now().Add(watchTimeout))
	}
	return r.n.Platform.VMs(ctx)
}

// applyList applies a newer list and announces it.
func (n *Node) applyList(list *ffmember.List, external bool) {
	if n.Members.ApplyList(list) {
		trySend(n.updates, update{toRoots: external})
	}
}
