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
	// maxTokenRequestBytes limits the body of a token request, in bytes.
	maxTokenRequestBytes = 4 << 10
	// tokenTimeout limits the time to read a token request.
	tokenTimeout = time.Second
)

// tokenRequest is the JSON body of a token request.
type tokenRequest struct {
	Route string `json:"route"`
}

// tokenResponse is the JSON body of the response to a token request.
type tokenResponse struct {
	Token string `json:"token"`
}

// serveToken mints a token and responds with it.
func (h *Handler) serveToken(w http.ResponseWriter, r *http.Request, snapshot *ffconfig.Snapshot, contract *ffconfig.Contract) {
	if r.Method != http.MethodPost {
		h.refuseCall(w, r, contract.Customer, ffcall.Refuse("mint", ffcall.KindNoRoute, merry.New("tokens are minted with POST")))
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(tokenTimeout))
	var request tokenRequest
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTokenRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&request); err != nil {
		h.refuseCall(w, r, contract.Customer, ffcall.Refuse("mint", ffcall.KindMalformed, err))
		return
	}
	token, err := h.Entry.Mint(r.Context(), snapshot, contract, request.Route)
	if err != nil {
		h.refuseCall(w, r, contract.Customer, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(tokenResponse{Token: token})
}
