package ffgossip

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// ContentPath is the URL path at which a daemon serves its snapshot to the others.
const ContentPath = "/fireflyfall-word"

// maxUpdateBytes is the longest accepted update after decompression, in bytes.
const maxUpdateBytes = 16 << 20

// Headers of an update, whose body may have been encoded earlier.
const (
	// revisionHeader carries the revision at which the snapshot was confirmed.
	revisionHeader = "Fireflyfall-Revision"
	// ageHeader carries the age of the snapshot, in nanoseconds.
	ageHeader = "Fireflyfall-Age"
	// heldHeader carries for how long the peer still retains targets that disappeared in
	// an outage of the store, in nanoseconds.
	heldHeader = "Fireflyfall-Held"
)

// update is the response to a pull: what the requesting peer lacks of the snapshot.
type update struct {
	// Revision is sent in a header as well, which goes before that of the body.
	Revision Revision `json:"revision"`
	// Age is sent in a header, since one encoded body is served to many peers.
	Age time.Duration `json:"-"`
	// Held is sent in a header too; zero or less after no outage.
	Held time.Duration `json:"-"`
	// Table is the complete configuration, Delta the changes to the peer's.
	Table *ffroute.Table `json:"table,omitempty"`
	Delta *ffroute.Delta `json:"delta,omitempty"`
	// Targets is the complete list of targets, TargetDelta the changes to the peer's.
	Targets     []fffleet.Target `json:"targets,omitempty"`
	TargetDelta *fffleet.Delta   `json:"targetDelta,omitempty"`
	// Evacuated holds all data centres whose targets get no calls.
	Evacuated []string `json:"evacuated,omitempty"`
}

// Query parameters with which a peer states what it holds.
const (
	versionParameter = "version"
	targetsParameter = "targets"
)

// pullQuery returns the query string of a peer that holds w and the listed targets
// fleet.
func pullQuery(w *Snapshot, fleet fffleet.Fleet) string {
	return url.Values{
		versionParameter: {strconv.FormatUint(w.Version(), 10)},
		targetsParameter: {strconv.FormatUint(fleet.Digest(), 16)},
	}.Encode()
}

// ContentHandler serves the snapshot to other daemons. It encodes each update once
// for all the peers that need it.
type ContentHandler struct {
	State *State
	Log   zerolog.Logger

	mu sync.Mutex
	// digest is that of the snapshot for which updates are cached. encoded holds them
	// by the peer's query.
	digest  string
	encoded map[string][]byte
}

// ServeHTTP sends the update that the peer needs.
func (h *ContentHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	current := h.State.Snapshot()
	b, err := h.encode(r.URL)
	if err != nil {
		h.Log.Error().Err(err).Msg("failed to encode the snapshot")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	w.Header().Set(revisionHeader, current.Revision.String())
	w.Header().Set(ageHeader, strconv.FormatInt(int64(time.Since(current.ConfirmedAt)), 10))
	if held := time.Until(h.State.HeldUntil()); held > 0 {
		w.Header().Set(heldHeader, strconv.FormatInt(int64(held), 10))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if _, err := w.Write(b); err != nil {
		h.Log.Info().Err(err).Str("peer", r.RemoteAddr).Msg("failed to send the snapshot")
	}
}

// encode returns the encoded update for a peer that sent the query of u.
func (h *ContentHandler) encode(u *url.URL) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, fleet := h.State.Listed()
	listed := Snapshot{Table: h.State.Table(), Fleet: fleet}
	if digest := listed.Digest(); digest != h.digest || len(h.encoded) >= maxRecent {
		h.digest = digest
		h.encoded = make(map[string][]byte)
	}
	if b, ok := h.encoded[u.RawQuery]; ok {
		return b, nil
	}
	b, err := encodeUpdate(h.update(u.Query()))
	if err == nil {
		h.encoded[u.RawQuery] = b
	}
	return b, err
}

// encodeUpdate returns c as gzipped JSON. Large configurations compress well.
func encodeUpdate(c update) ([]byte, error) {
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(z).Encode(c); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// update returns the update for a peer that sent query. Parts that the peer has are
// left out or sent as a delta.
func (h *ContentHandler) update(query url.Values) update {
	current := h.State.Snapshot()
	revision, fleet := h.State.Listed()
	c := update{Revision: revision, Evacuated: fleet.Evacuated()}
	c.Targets = fleet.All()
	if digest, err := strconv.ParseUint(query.Get(targetsParameter), 16, 64); err == nil {
		if base, ok := h.State.recentFleet(digest); ok {
			c.Targets, c.TargetDelta = nil, fleet.Since(base)
		}
	}
	version, err := strconv.ParseUint(query.Get(versionParameter), 10, 64)
	if err == nil && version == current.Version() {
		return c
	}
	if base := h.State.recentTable(version); err == nil && base != nil && current.Table != nil {
		c.Delta = current.Table.DiffFrom(base)
		return c
	}
	c.Table = current.Table
	return c
}

// fleet returns the peer's known targets after c.
func (c *update) fleet(known fffleet.Fleet) fffleet.Fleet {
	if c.TargetDelta != nil {
		return known.With(c.TargetDelta.Changes()).WithEvacuated(c.Evacuated)
	}
	return replaceFleet(known, c.Targets).WithEvacuated(c.Evacuated)
}

// decodeUpdate decodes an update sent to a peer that holds table. It applies a delta of
// the configuration and sets Table to the result.
func decodeUpdate(r io.Reader, table *ffroute.Table) (*update, error) {
	var c update
	z, err := gzip.NewReader(r)
	if err != nil {
		return nil, &Error{Op: "read a snapshot", Kind: KindDecode, Err: err}
	}
	if err := json.NewDecoder(io.LimitReader(z, maxUpdateBytes)).Decode(&c); err != nil {
		return nil, &Error{Op: "read a snapshot", Kind: KindDecode, Err: err}
	}
	switch {
	case c.Table != nil:
		c.Table = c.Table.Index().WithRoutesOf(table)
	case c.Delta != nil && table != nil:
		next, err := table.With(c.Delta)
		if err != nil {
			return nil, &Error{Op: "read a snapshot", Kind: KindDecode, Err: err}
		}
		c.Table = next
	}
	return &c, nil
}
