package ffdeclaration_test

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/goccy/go-yaml"
	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// mesh is a configuration that may be at fault.
type mesh struct {
	contracts []ffconfig.Contract
	services  []ffconfig.Service
	routes    []ffconfig.Route
}

// drawer draws the values of a configuration, all valid but those of one label.
type drawer struct {
	t *rapid.T
	// slip is the label whose values may be invalid.
	slip string
}

// allNames are few, so that references, keys and paths often meet.
var allNames = []string{"a", "b", "c"}

// Labels that drawMesh may be given; what spans several files is drawn more often.
var (
	fieldSlips = []string{
		"resources", "slots", "connections", "queueLength", "timeoutMillis",
		"share", "ratePerSecond", "burst", "concurrency", "maxConnections", "routes",
	}
	spanningSlips = []string{"longSlots", "path", "service", "resource", "key", "unknownRoute"}
	slips         = slices.Concat(slices.Repeat(spanningSlips, 4), fieldSlips)
)

// from draws one of names, or any name at the slip.
func (d drawer) from(label string, names []string) string {
	if d.slip == label {
		names = allNames
	}
	return rapid.SampledFrom(names).Draw(d.t, label)
}

// between draws a number in range, or zero at the slip.
func (d drawer) between(label string, low, high int) int {
	if d.slip == label {
		return 0
	}
	return rapid.IntRange(low, high).Draw(d.t, label)
}

// some draws distinct names, or the first of them twice at the slip.
func (d drawer) some(label string, names []string) []string {
	drawn := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, len(names), rapid.ID).Draw(d.t, label)
	if d.slip == label {
		drawn = append(drawn, drawn[0])
	}
	return drawn
}

// distinct draws the names of the declarations of one directory.
func (d drawer) distinct(label string) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom(allNames), 1, len(allNames), rapid.ID).Draw(d.t, label)
}

// drawMesh draws a configuration that is valid but for the values of the slip.
func drawMesh(t *rapid.T, slip string) mesh {
	d := drawer{t: t, slip: slip}
	var m mesh
	services, routes, customers := d.distinct("serviceNames"), d.distinct("routeNames"), d.distinct("customers")
	for _, name := range services {
		m.services = append(m.services, d.service(name))
	}
	for _, name := range routes {
		service := m.services[rapid.IntRange(0, len(services)-1).Draw(t, "serviceIndex")]
		m.routes = append(m.routes, d.route(name, service))
	}
	for _, name := range customers {
		m.contracts = append(m.contracts, d.contract(name, routes))
	}
	return m
}

func (d drawer) service(name string) ffconfig.Service {
	return ffconfig.Service{
		Name:        name,
		Resources:   d.some("resources", allNames),
		Slots:       d.between("slots", 2, 3),
		LongSlots:   d.between("longSlots", 1, 1),
		Connections: d.between("connections", 3, 5),
		QueueLength: d.between("queueLength", 1, 5),
	}
}

func (d drawer) route(name string, service ffconfig.Service) ffconfig.Route {
	return ffconfig.Route{
		Name:          name,
		Method:        "GET",
		Path:          "/" + d.from("path", []string{name}),
		Service:       d.from("service", []string{service.Name}),
		Resource:      d.from("resource", service.Resources),
		Class:         rapid.SampledFrom([]ffconfig.Class{ffconfig.ClassShort, ffconfig.ClassLong}).Draw(d.t, "class"),
		Idempotent:    rapid.Bool().Draw(d.t, "idempotent"),
		TimeoutMillis: int64(d.between("timeoutMillis", 1, 5)),
	}
}

func (d drawer) contract(name string, routes []string) ffconfig.Contract {
	c := ffconfig.Contract{
		Customer:       name,
		KeyHashes:      []ffconfig.Digest{ffconfig.DigestOf([]byte(d.from("key", []string{name})))},
		Share:          d.between("share", 1, 5),
		RatePerSecond:  float64(d.between("ratePerSecond", 1, 5)) / 2,
		Burst:          d.between("burst", 1, 5),
		Concurrency:    d.between("concurrency", 1, 5),
		RetryPercent:   d.between("retryPercent", 0, 100),
		MaxConnections: d.between("maxConnections", 1, 5),
		Routes:         d.some("routes", routes),
	}
	if d.slip == "unknownRoute" {
		c.Routes = allNames
	}
	return c
}

// write puts every declaration of m into a file of its own below dir.
func (m mesh) write(t *rapid.T, dir string) {
	for _, c := range m.contracts {
		writeDeclaration(t, dir, "contracts", c.Customer, c)
	}
	for _, s := range m.services {
		writeDeclaration(t, dir, "services", s.Name, s)
	}
	for _, r := range m.routes {
		writeDeclaration(t, dir, "routes", r.Name, r)
	}
}

func writeDeclaration(t *rapid.T, dir, directory, name string, value any) {
	content, err := yaml.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, directory, name+".yaml"), content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// snapshot takes the way of a daemon, without declarations.
func (m mesh) snapshot(t *rapid.T) (*ffconfig.Snapshot, error) {
	manifest := ffconfig.Manifest{Number: 1}
	pieces := make(map[ffconfig.Digest][]byte)
	add := func(kind ffconfig.PieceKind, name string, value any) {
		ref, content, err := ffconfig.EncodePiece(kind, name, value)
		if err != nil {
			t.Fatal(err)
		}
		manifest.Pieces = append(manifest.Pieces, ref)
		pieces[ref.Digest] = content
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
	return ffconfig.NewSnapshot(manifest, ffconfig.Version{Number: 1}, pieces)
}
