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

// ContentPath is where a daemon serves its word to the others.
const ContentPath = "/fireflyfall-word"

// maxContent bounds a word on the wire, in bytes.
const maxContent = 16 << 20

// ageHeader tells how old a word is, in nanoseconds.
const ageHeader = "Fireflyfall-Age"

// content is a word on the wire, as far as the peer that asks does not have it.
type content struct {
	Revision uint64 `json:"revision"`
	// Age is told beside the content, which many peers get alike.
	Age time.Duration `json:"-"`
	// Table is the whole configuration, Delta its change against the peer's.
	Table *ffroute.Table `json:"table,omitempty"`
	Delta *ffroute.Delta `json:"delta,omitempty"`
	// Targets is the whole list of targets, TargetDelta its change against the peer's.
	Targets     []fffleet.Target `json:"targets,omitempty"`
	TargetDelta *fffleet.Delta   `json:"targetDelta,omitempty"`
}

// Parameters by which a peer tells what it has.
const (
	versionParameter = "version"
	targetsParameter = "targets"
)

// have returns the query of a peer that holds w.
func have(w *Word, fleet fffleet.Fleet) string {
	return url.Values{
		versionParameter: {strconv.FormatUint(w.Version(), 10)},
		targetsParameter: {strconv.FormatUint(fleet.Digest(), 16)},
	}.Encode()
}

// ContentHandler serves the word to other daemons. It encodes each change once for
// all the peers that lack it.
type ContentHandler struct {
	State *State
	Log   zerolog.Logger

	mu sync.Mutex
	// digest is that of the word whose changes are encoded, by what the peer has.
	digest  string
	encoded map[string][]byte
}

// ServeHTTP sends what the peer lacks.
func (h *ContentHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	confirmed := h.State.Word().Confirmed
	b, err := h.encode(r.URL)
	if err != nil {
		h.Log.Error().Err(err).Msg("word cannot be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	w.Header().Set(ageHeader, strconv.FormatInt(int64(time.Since(confirmed)), 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if _, err := w.Write(b); err != nil {
		h.Log.Info().Err(err).Str("peer", r.RemoteAddr).Msg("word not sent")
	}
}

// encode returns the encoded content for a peer that asks with the query of u.
func (h *ContentHandler) encode(u *url.URL) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, fleet := h.State.Read()
	read := Word{Table: h.State.Table(), Fleet: fleet}
	if digest := read.Digest(); digest != h.digest || len(h.encoded) >= recentKept {
		h.digest = digest
		h.encoded = make(map[string][]byte)
	}
	if b, ok := h.encoded[u.RawQuery]; ok {
		return b, nil
	}
	b, err := pack(h.content(u.Query()))
	if err == nil {
		h.encoded[u.RawQuery] = b
	}
	return b, err
}

// pack encodes content; that of a large configuration shrinks a lot.
func pack(c content) ([]byte, error) {
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

func (h *ContentHandler) content(has url.Values) content {
	word := h.State.Word()
	revision, fleet := h.State.Read()
	c := content{Revision: revision}
	c.Targets = fleet.All()
	if digest, err := strconv.ParseUint(has.Get(targetsParameter), 16, 64); err == nil {
		if base, ok := h.State.list(digest); ok {
			c.Targets, c.TargetDelta = nil, fleet.Since(base)
		}
	}
	version, err := strconv.ParseUint(has.Get(versionParameter), 10, 64)
	if err == nil && version == word.Version() {
		return c
	}
	if base := h.State.version(version); err == nil && base != nil && word.Table != nil {
		c.Delta = word.Table.Since(base)
		return c
	}
	c.Table = word.Table
	return c
}

// fleet returns the targets that c makes of those that a peer had.
func (c *content) fleet(known fffleet.Fleet) fffleet.Fleet {
	if c.TargetDelta != nil {
		return known.With(c.TargetDelta.Changes())
	}
	return replace(known, c.Targets)
}

// decodeContent reads a word that was sent to a peer with a configuration.
func decodeContent(r io.Reader, table *ffroute.Table) (*content, error) {
	var c content
	z, err := gzip.NewReader(r)
	if err != nil {
		return nil, &Error{Op: "read a word", Kind: KindDecode, Err: err}
	}
	if err := json.NewDecoder(io.LimitReader(z, maxContent)).Decode(&c); err != nil {
		return nil, &Error{Op: "read a word", Kind: KindDecode, Err: err}
	}
	switch {
	case c.Table != nil:
		c.Table.Index()
	case c.Delta != nil && table != nil:
		next, err := table.With(c.Delta)
		if err != nil {
			return nil, &Error{Op: "read a word", Kind: KindDecode, Err: err}
		}
		c.Table = next
	}
	return &c, nil
}
