package ffgossip

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// ContentPath is where a daemon serves its word to the others.
const ContentPath = "/fireflyfall-word"

// maxContent bounds a word on the wire, in bytes.
const maxContent = 16 << 20

// content is a word on the wire.
type content struct {
	Revision uint64           `json:"revision"`
	Age      time.Duration    `json:"age"`
	Table    *ffroute.Table   `json:"table,omitempty"`
	Targets  []fffleet.Target `json:"targets"`
}

// ContentHandler serves the word to other daemons.
type ContentHandler struct{ State *State }

// ServeHTTP sends the word, without the configuration when the peer has it.
func (h *ContentHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	word := h.State.Word()
	revision, fleet := h.State.Read()
	c := content{Revision: revision, Age: time.Since(word.Confirmed), Table: word.Table, Targets: fleet.All()}
	if r.URL.Query().Get("version") == strconv.FormatUint(word.Version(), 10) {
		c.Table = nil
	}
	b, err := json.Marshal(c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}

func decodeContent(r io.Reader) (*content, error) {
	var c content
	if err := json.NewDecoder(io.LimitReader(r, maxContent)).Decode(&c); err != nil {
		return nil, &Error{Op: "read a word", Kind: KindDecode, Err: err}
	}
	if c.Table != nil {
		c.Table.Index()
	}
	return &c, nil
}
