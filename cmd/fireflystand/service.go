package main

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffstand"
)

// service is a stand-in with its two listeners.
type service struct {
	listen         string
	handler        http.Handler
	control        string
	controlHandler http.Handler
}

// serve runs s until ctx is done and logs the addresses that it listens on.
func serve(ctx context.Context, log zerolog.Logger, s service) error {
	address, err := netip.ParseAddrPort(s.control)
	if err != nil {
		return merry.Prepend(err, "--control")
	}
	if !address.Addr().IsLoopback() {
		return merry.Errorf("--control is %q, only a loopback address is allowed", s.control)
	}
	service, err := ffstand.Listen(s.listen, s.handler)
	if err != nil {
		return err
	}
	control, err := ffstand.Listen(s.control, s.controlHandler)
	if err != nil {
		return err
	}
	log.Info().Str("listen", service.Address()).Str("control", control.Address()).Msg("listening")
	return ffstand.Serve(ctx, service, control)
}
