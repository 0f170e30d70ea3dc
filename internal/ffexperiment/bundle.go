package ffexperiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
	"fireflyfall.dev/fireflyfall/pkg/ffdeclaration"
)

// syntheticConfig generates versions of a configuration of a given size, with one
// route for each service.
type syntheticConfig struct {
	services  int
	contracts int
	number    uint64
}

// publish builds the next version, in which another contract has a changed rate, and
// publishes it on the platform.
func (s *syntheticConfig) publish(ctx context.Context, d *ffdeployment.Deployment, directory string) (ffconfig.Version, error) {
	s.number++
	b, err := s.build()
	if err != nil {
		return ffconfig.Version{}, err
	}
	into := filepath.Join(directory, fmt.Sprintf("synthetic-%d", s.number))
	if err := b.Write(into); err != nil {
		return ffconfig.Version{}, err
	}
	defer func() { _ = os.RemoveAll(into) }()
	return b.Snapshot.Version(), d.Platform.PublishBundle(ctx, into)
}

func (s *syntheticConfig) build() (*ffdeclaration.Bundle, error) {
	b := &ffdeclaration.Bundle{Pieces: make(map[ffconfig.Digest][]byte)}
	m := ffconfig.Manifest{Number: s.number}
	add := func(kind ffconfig.PieceKind, name string, value any) error {
		ref, content, err := ffconfig.EncodePiece(kind, name, value)
		m.Pieces = append(m.Pieces, ref)
		b.Pieces[ref.Digest] = content
		return err
	}
	for i := range s.services {
		name := fmt.Sprintf("service-%d", i)
		if err := add(ffconfig.PieceService, name, serviceOf(name)); err != nil {
			return nil, err
		}
		if err := add(ffconfig.PieceRoute, name, routeOf(name)); err != nil {
			return nil, err
		}
	}
	for i := range s.contracts {
		c := s.contractOf(i)
		if err := add(ffconfig.PieceContract, c.Customer, c); err != nil {
			return nil, err
		}
	}
	var err error
	if b.Manifest, err = m.Encode(); err != nil {
		return nil, err
	}
	decoded, v, err := ffconfig.DecodeManifest(b.Manifest)
	if err != nil {
		return nil, err
	}
	b.Snapshot, err = ffconfig.NewSnapshot(decoded, v, b.Pieces)
	return b, err
}

func serviceOf(name string) ffconfig.Service {
	return ffconfig.Service{Name: name, Resources: []string{"items"}, Slots: 10, LongSlots: 2, Connections: 100, QueueLength: 100}
}

func routeOf(name string) ffconfig.Route {
	return ffconfig.Route{
		Name: name, Method: "GET", Path: "/" + name, Service: name, Resource: "items",
		Idempotent: true, TimeoutMillis: 1000,
	}
}

// contractOf returns the contract of customer i. In version n only contract n modulo
// the number of contracts differs from the default rate, so that two contracts change
// from one version to the next.
func (s *syntheticConfig) contractOf(i int) ffconfig.Contract {
	c := ffconfig.Contract{
		Customer:      fmt.Sprintf("customer-%d", i),
		KeyHashes:     []ffconfig.Digest{ffconfig.DigestOf(fmt.Appendf(nil, "key-%d", i))},
		Share:         1,
		RatePerSecond: 100, Burst: 50, Concurrency: 20,
		MaxBodyBytes: 1 << 20, MaxConnections: 100,
		Routes: []string{"service-0"},
	}
	if int(s.number)%s.contracts == i {
		c.RatePerSecond += float64(s.number)
	}
	return c
}
