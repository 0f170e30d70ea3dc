package ffdeclaration_test

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/goccy/go-yaml"
	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// mesh is a configuration that may be invalid.
type mesh struct {
	contracts []ffconfig.Contract
	services  []ffconfig.Service
	routes    []ffconfig.Route
}

// drawer draws the values of a configuration; only the values of one label may be
// invalid.
type drawer struct {
	t *rapid.T
	// invalid is the label whose values may be invalid.
	invalid string
}

// allNames is short, so that references, keys and paths often coincide.
var allNames = []string{"a", "b", "c"}

// Labels for drawMesh. Those whose faults concern several declarations or fields are
// drawn more often.
var (
	fieldLabels = []string{
		"resources", "slots", "connections", "queueLength", "timeoutMillis",
		"share", "ratePerSecond", "burst", "concurrency", "maxConnections", "routes",
	}
	crossLabels = []string{"longSlots", "path", "service", "resource", "key", "unknownRoute"}
	allLabels   = slices.Concat(slices.Repeat(crossLabels, 4), fieldLabels)
)

// oneOf draws one of names, or one of allNames if label is the invalid one.
func (d drawer) oneOf(label string, names []string) string {
	if d.invalid == label {
		names = allNames
	}
	return rapid.SampledFrom(names).Draw(d.t, label)
}

// between draws a number in the range, or returns 0 if label is the invalid one.
func (d drawer) between(label string, low, high int) int {
	if d.invalid == label {
		return 0
	}
	return rapid.IntRange(low, high).Draw(d.t, label)
}

// subset draws distinct names and repeats the first if label is the invalid one.
func (d drawer) subset(label string, names []string) []string {
	drawn := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, len(names), rapid.ID).Draw(d.t, label)
	if d.invalid == label {
		drawn = append(drawn, drawn[0])
	}
	return drawn
}

// declarationNames draws the distinct names of the declarations of one directory.
func (d drawer) declarationNames(label string) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom(allNames), 1, len(allNames), rapid.ID).Draw(d.t, label)
}

// drawMesh draws a configuration in which only the values of one label may be invalid.
func drawMesh(t *rapid.T, invalid string) mesh {
	d := drawer{t: t, invalid: invalid}
	var m mesh
	services, routes, customers := d.declarationNames("serviceNames"), d.declarationNames("routeNames"), d.declarationNames("customers")
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
		Resources:   d.subset("resources", allNames),
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
		Path:          "/" + d.oneOf("path", []string{name}),
		Service:       d.oneOf("service", []string{service.Name}),
		Resource:      d.oneOf("resource", service.Resources),
		Class:         rapid.SampledFrom([]ffconfig.Class{ffconfig.ClassShort, ffconfig.ClassLong}).Draw(d.t, "class"),
		Idempotent:    rapid.Bool().Draw(d.t, "idempotent"),
		TimeoutMillis: int64(d.between("timeoutMillis", 1, 5)),
	}
}

func (d drawer) contract(name string, routes []string) ffconfig.Contract {
	c := ffconfig.Contract{
		Customer:       name,
		KeyHashes:      []ffconfig.Digest{ffconfig.DigestOf([]byte(d.oneOf("key", []string{name})))},
		Share:          d.between("share", 1, 5),
		RatePerSecond:  float64(d.between("ratePerSecond", 1, 5)) / 2,
		Burst:          d.between("burst", 1, 5),
		Concurrency:    d.between("concurrency", 1, 5),
		RetryPercent:   d.between("retryPercent", 0, 100),
		MaxConnections: d.between("maxConnections", 1, 5),
		Routes:         d.subset("routes", routes),
	}
	if d.invalid == "unknownRoute" {
		c.Routes = allNames
	}
	return c
}

// write writes each declaration of m to its own file below dir.
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

// snapshot encodes and decodes m as a version, without declaration files.
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
