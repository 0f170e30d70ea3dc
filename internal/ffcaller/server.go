package ffcaller

import (
	"log"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/negroni/v3"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// NewServer returns the HTTP server for callers.
func NewServer(address string, h *Handler, logger zerolog.Logger) *http.Server {
	recovery := negroni.NewRecovery()
	recovery.PrintStack = false
	recovery.Logger = log.New(logger, "", 0)
	n := negroni.New(recovery)
	n.UseHandler(h)
	return &http.Server{
		Addr:              address,
		Handler:           n,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(logger, "", 0),
		ConnContext:       h.connections.connContext,
		ConnState:         h.connections.connState,
	}
}
