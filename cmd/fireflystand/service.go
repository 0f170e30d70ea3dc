package main

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffstand"
)

// endpoints holds the addresses and handlers of a stand-in's two listeners.
type endpoints struct {
	listen         string
	handler        http.Handler
	control        string
	controlHandler http.Handler
}

// serve serves both endpoints until ctx is done and logs their addresses. The control
// address must be a loopback address.
func serve(ctx context.Context, log zerolog.Logger, e endpoints) error {
	address, err := netip.ParseAddrPort(e.control)
	if err != nil {
		return merry.Prepend(err, "--control")
	}
	if !address.Addr().IsLoopback() {
		return merry.Errorf("--control is %q, only a loopback address is allowed", e.control)
	}
	server, err := ffstand.Listen(e.listen, e.handler)
	if err != nil {
		return err
	}
	control, err := ffstand.Listen(e.control, e.controlHandler)
	if err != nil {
		return err
	}
	log.Info().Str("listen", server.Address()).Str("control", control.Address()).Msg("listening")
	return ffstand.Serve(ctx, server, control)
}
