package ffcaller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// maxTokenRequestBytes bounds the body of a request for a token, in bytes.
	maxTokenRequestBytes = 4 << 10
	// tokenTimeout bounds the reading of a request for a token.
	tokenTimeout = time.Second
)

// tokenRequest is the body of a request for a token.
type tokenRequest struct {
	Route string `json:"route"`
}

// tokenResponse is the body of the answer to a request for a token.
type tokenResponse struct {
	Token string `json:"token"`
}

// serveToken answers a request for a token.
func (h *Handler) serveToken(w http.ResponseWriter, r *http.Request, snapshot *ffconfig.Snapshot, contract *ffconfig.Contract) {
	if r.Method != http.MethodPost {
		h.refuseCall(w, r, contract.Customer, ffcall.Refuse("mint", ffcall.KindNoRoute, merry.New("tokens are minted with POST")))
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(tokenTimeout))
	var asked tokenRequest
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTokenRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&asked); err != nil {
		h.refuseCall(w, r, contract.Customer, ffcall.Refuse("mint", ffcall.KindMalformed, err))
		return
	}
	token, err := h.Entry.Mint(r.Context(), snapshot, contract, asked.Route)
	if err != nil {
		h.refuseCall(w, r, contract.Customer, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(tokenResponse{Token: token})
}
