package ffconfig_test

import (
	"fmt"
	"maps"
	"slices"

	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// mesh is a configuration that a test builds or corrupts.
type mesh struct {
	contracts []ffconfig.Contract
	services  []ffconfig.Service
	routes    []ffconfig.Route
}

// drawMesh draws a valid configuration in which every service has a route and
// every route a contract.
func drawMesh(t *rapid.T) mesh {
	var m mesh
	for i := range rapid.IntRange(1, 3).Draw(t, "services") {
		slots := rapid.IntRange(2, ffconfig.MaxSlots).Draw(t, "slots")
		m.services = append(m.services, ffconfig.Service{
			Name:        fmt.Sprintf("service-%d", i),
			Resources:   []string{"records", fmt.Sprintf("resource-%d", i)},
			Slots:       slots,
			LongSlots:   1,
			Connections: rapid.IntRange(slots, ffconfig.MaxConnections).Draw(t, "connections"),
			QueueLength: rapid.IntRange(1, ffconfig.MaxQueueLength).Draw(t, "queueLength"),
		})
	}
	for i := range len(m.services) + rapid.IntRange(0, 3).Draw(t, "routes") {
		service := m.services[i%len(m.services)]
		m.routes = append(m.routes, ffconfig.Route{
			Name:          fmt.Sprintf("route-%d", i),
			Method:        rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"),
			Path:          fmt.Sprintf("/path/%d", i),
			Service:       service.Name,
			Resource:      rapid.SampledFrom(service.Resources).Draw(t, "resource"),
			Class:         rapid.SampledFrom([]ffconfig.Class{ffconfig.ClassShort, ffconfig.ClassLong}).Draw(t, "class"),
			Idempotent:    rapid.Bool().Draw(t, "idempotent"),
			TimeoutMillis: rapid.Int64Range(1, ffconfig.MaxTimeoutMillis).Draw(t, "timeoutMillis"),
		})
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "contracts") {
		c := ffconfig.Contract{
			Customer:       fmt.Sprintf("customer-%d", i),
			KeyHashes:      []ffconfig.Digest{ffconfig.DigestOf([]byte{byte(i)})},
			Share:          rapid.IntRange(1, ffconfig.MaxShare).Draw(t, "share"),
			RatePerSecond:  rapid.Float64Range(0.1, ffconfig.MaxRatePerSecond).Draw(t, "ratePerSecond"),
			Burst:          rapid.IntRange(1, ffconfig.MaxRatePerSecond).Draw(t, "burst"),
			Concurrency:    rapid.IntRange(1, ffconfig.MaxConcurrency).Draw(t, "concurrency"),
			RetryPercent:   rapid.IntRange(0, ffconfig.MaxPercent).Draw(t, "retryPercent"),
			HedgePercent:   rapid.IntRange(0, ffconfig.MaxPercent).Draw(t, "hedgePercent"),
			MaxBodyBytes:   rapid.Int64Range(0, ffconfig.MaxBodyBytes).Draw(t, "maxBodyBytes"),
			MaxConnections: rapid.IntRange(1, ffconfig.MaxConnections).Draw(t, "maxConnections"),
		}
		for _, r := range m.routes {
			c.Routes = append(c.Routes, r.Name)
		}
		m.contracts = append(m.contracts, c)
	}
	return m
}

// version is an encoded configuration, as the platform stores it.
type version struct {
	refs   []ffconfig.PieceRef
	pieces map[ffconfig.Digest][]byte
}

// encode returns the pieces of m, without validation.
func (m mesh) encode(t *rapid.T) version {
	v := version{pieces: make(map[ffconfig.Digest][]byte)}
	add := func(kind ffconfig.PieceKind, name string, value any) {
		ref, content, err := ffconfig.EncodePiece(kind, name, value)
		if err != nil {
			t.Fatal(err)
		}
		v.refs = append(v.refs, ref)
		v.pieces[ref.Digest] = content
	}
	for _, c := range m.contracts {
		add(ffconfig.PieceContract, c.Customer, c)
	}
	for _, s := range m.services {
		add(ffconfig.PieceService, s.Name, s)
	}
	for _, r := range m.routes {
		add(ffconfig.PieceRoute, r.Name, r)
	}
	return v
}

// manifest returns the encoded manifest of v.
func (v version) manifest(t *rapid.T) []byte {
	content, err := ffconfig.Manifest{Number: 1, Pieces: v.refs}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// snapshot decodes v as a daemon does: first the manifest, then the pieces.
func (v version) snapshot(t *rapid.T) (*ffconfig.Snapshot, error) {
	m, number, err := ffconfig.DecodeManifest(v.manifest(t))
	if err != nil {
		return nil, err
	}
	return ffconfig.NewSnapshot(m, number, v.pieces)
}

// clone returns a copy of v that a test may modify.
func (v version) clone() version {
	return version{refs: slices.Clone(v.refs), pieces: maps.Clone(v.pieces)}
}

// requireRefused fails the test unless decoding v returns an error of this package and no snapshot.
func requireRefused(t *rapid.T, v version, description string) *ffconfig.Error {
	s, err := v.snapshot(t)
	e, ok := err.(*ffconfig.Error)
	if !ok || s != nil {
		t.Fatalf("%s: got snapshot %v and error %v", description, s, err)
	}
	return e
}
