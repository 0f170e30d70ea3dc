package ffconfig

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"
)

// Snapshot is a complete, validated and immutable version. A call uses a single
// snapshot from start to end.
type Snapshot struct {
	version   Version
	manifest  Manifest
	pieces    map[PieceRef]any // *Contract, *Service or *Route
	contracts map[string]*Contract
	byKeyHash map[Digest]*Contract
	services  map[string]*Service
	routes    []*Route
}

// NewSnapshot decodes and validates every piece of a version. It returns an
// error, and no snapshot, if any piece is missing, corrupt, invalid or refers to
// a service, resource or route that is not in the version.
func NewSnapshot(m Manifest, v Version, content map[Digest][]byte) (*Snapshot, error) {
	return (*Snapshot)(nil).Next(m, v, content)
}

// Next returns the snapshot of another version like NewSnapshot, but reuses the
// pieces that s already contains. These are immutable and validated, so they are
// not decoded again and may be missing from content. s may be nil.
func (s *Snapshot) Next(m Manifest, v Version, content map[Digest][]byte) (*Snapshot, error) {
	if err := m.validate(); err != nil {
		return nil, err
	}
	next := &Snapshot{
		version:   v,
		manifest:  m,
		pieces:    make(map[PieceRef]any, len(m.Pieces)),
		contracts: make(map[string]*Contract),
		byKeyHash: make(map[Digest]*Contract),
		services:  make(map[string]*Service),
	}
	for _, p := range m.Pieces {
		if err := next.add(p, s, content); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(next.routes, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(len(b.Path), len(a.Path)), cmp.Compare(a.Name, b.Name))
	})
	if err := next.checkReferences(); err != nil {
		return nil, err
	}
	return next, nil
}

// add adds a piece, reused from the previous snapshot if it is there, else decoded.
func (s *Snapshot) add(p PieceRef, previous *Snapshot, content map[Digest][]byte) error {
	value, ok := previous.piece(p)
	if !ok {
		var err error
		if value, err = decode(p, content); err != nil {
			return err
		}
	}
	s.pieces[p] = value
	switch value := value.(type) {
	case *Contract:
		return s.addContract(value)
	case *Service:
		s.services[value.Name] = value
	case *Route:
		s.routes = append(s.routes, value)
	}
	return nil
}

// piece returns the decoded value of the piece with exactly this reference.
func (s *Snapshot) piece(p PieceRef) (any, bool) {
	if s == nil {
		return nil, false
	}
	value, ok := s.pieces[p]
	return value, ok
}

// addContract adds a contract. It returns an error if a key is already in use.
func (s *Snapshot) addContract(c *Contract) error {
	for _, h := range c.KeyHashes {
		if other, ok := s.byKeyHash[h]; ok {
			return &Error{Op: "apply", Kind: KindInvalid, Piece: c.Customer, Field: "keyHashes", Err: merry.Errorf("customer %s has the same key", other.Customer)}
		}
		s.byKeyHash[h] = c
	}
	s.contracts[c.Customer] = c
	return nil
}

// decode verifies, decodes and validates a piece and returns its value: a *Contract, *Service or *Route.
func decode(p PieceRef, content map[Digest][]byte) (any, error) {
	raw, ok := content[p.Digest]
	if !ok {
		return nil, &Error{Op: "apply", Kind: KindMissing, Piece: p.Name, Err: merry.New("content is missing")}
	}
	if err := p.Check(raw); err != nil {
		return nil, err
	}
	switch p.Kind {
	case PieceContract:
		c := &Contract{}
		return c, decodePiece(p, raw, c, func() (string, []Fault) { return c.Customer, c.Validate() })
	case PieceService:
		v := &Service{}
		return v, decodePiece(p, raw, v, func() (string, []Fault) { return v.Name, v.Validate() })
	case PieceRoute:
		r := &Route{}
		return r, decodePiece(p, raw, r, func() (string, []Fault) { return r.Name, r.Validate() })
	}
	return nil, &Error{Op: "apply", Kind: KindInvalid, Piece: p.Name, Field: "kind", Err: merry.Errorf("%d is not a piece kind", int(p.Kind))}
}

// decodePiece decodes content strictly and checks its name and fields.
func decodePiece(p PieceRef, content []byte, into any, validate func() (string, []Fault)) error {
	if err := decodeStrict(content, into); err != nil {
		return &Error{Op: "apply", Kind: KindMalformed, Piece: p.Name, Err: err}
	}
	name, faults := validate()
	if len(faults) > 0 {
		return &Error{Op: "apply", Kind: KindInvalid, Piece: p.Name, Field: faults[0].Field, Err: merry.New(faults[0].Message)}
	}
	if name != p.Name {
		return &Error{Op: "apply", Kind: KindMismatch, Piece: p.Name, Field: "name", Err: merry.Errorf("the content has name %q", name)}
	}
	return nil
}

func (s *Snapshot) checkReferences() error {
	byMatch := make(map[[2]string]string)
	byName := make(map[string]bool)
	for _, r := range s.routes {
		service, ok := s.services[r.Service]
		if !ok {
			return &Error{Op: "apply", Kind: KindReference, Piece: r.Name, Field: "service", Err: merry.Errorf("service %q is not in this version", r.Service)}
		}
		if !service.Offers(r.Resource) {
			return &Error{Op: "apply", Kind: KindReference, Piece: r.Name, Field: "resource", Err: merry.Errorf("service %q does not offer resource %q", r.Service, r.Resource)}
		}
		match := [2]string{r.Method, r.Path}
		if other, taken := byMatch[match]; taken {
			return &Error{Op: "apply", Kind: KindInvalid, Piece: r.Name, Field: "path", Err: merry.Errorf("route %q has the same method and path", other)}
		}
		if r.Class == ClassLong && service.LongSlots == 0 {
			return &Error{Op: "apply", Kind: KindReference, Piece: r.Name, Field: "class", Err: merry.Errorf("service %q has no slots for long work", r.Service)}
		}
		byMatch[match] = r.Name
		byName[r.Name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(s.contracts)) {
		for _, r := range s.contracts[name].Routes {
			if !byName[r] {
				return &Error{Op: "apply", Kind: KindReference, Piece: name, Field: "routes", Err: merry.Errorf("route %q is not in this version", r)}
			}
		}
	}
	return nil
}

// Version returns the version of the snapshot.
func (s *Snapshot) Version() Version { return s.version }

// Manifest returns the manifest of the snapshot.
func (s *Snapshot) Manifest() Manifest { return s.manifest }

// Contract returns the contract of a customer.
func (s *Snapshot) Contract(customer string) (*Contract, bool) {
	c, ok := s.contracts[customer]
	return c, ok
}

// ContractByKey returns the contract of the customer that the key authenticates.
func (s *Snapshot) ContractByKey(key string) (*Contract, bool) {
	c, ok := s.byKeyHash[DigestOf([]byte(key))]
	return c, ok
}

// Customers returns the names of all customers, sorted.
func (s *Snapshot) Customers() []string { return slices.Sorted(maps.Keys(s.contracts)) }

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services returns the names of all services, sorted.
func (s *Snapshot) Services() []string { return slices.Sorted(maps.Keys(s.services)) }

// Routes returns all routes, the longest path first.
func (s *Snapshot) Routes() []*Route { return slices.Clone(s.routes) }

// Route returns the route of a request: the one with the longest matching path.
func (s *Snapshot) Route(method, path string) (*Route, bool) {
	for _, r := range s.routes {
		if r.Matches(method, path) {
			return r, true
		}
	}
	return nil, false
}

// RouteByName returns a route by name.
func (s *Snapshot) RouteByName(name string) (*Route, bool) {
	i := slices.IndexFunc(s.routes, func(r *Route) bool { return r.Name == name })
	if i < 0 {
		return nil, false
	}
	return s.routes[i], true
}

// EncodePiece encodes value as a piece and returns its reference and content.
func EncodePiece(kind PieceKind, name string, value any) (PieceRef, []byte, error) {
	content, err := json.Marshal(value)
	if err != nil {
		return PieceRef{}, nil, &Error{Op: "encode", Kind: KindMalformed, Piece: name, Err: err}
	}
	if len(content) > MaxPieceBytes {
		return PieceRef{}, nil, &Error{Op: "encode", Kind: KindTooLarge, Piece: name, Err: merry.Errorf("%d bytes, at most %d", len(content), MaxPieceBytes)}
	}
	return PieceRef{Kind: kind, Name: name, Digest: DigestOf(content), Size: len(content)}, content, nil
}
