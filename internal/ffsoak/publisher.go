package ffsoak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
	"fireflyfall.dev/fireflyfall/pkg/ffdeclaration"
)

const (
	// movingRoute names the route that moves between services.
	movingRoute = "moving"
	movingPath  = "/moving"
	// corruptByte is added to a piece to damage it.
	corruptByte = ' '
)

// content is the part of a version that differs from the example's declarations.
type content struct {
	// amended is the number of the amendment, unique to each.
	amended int
	// placement is the index into the moving route's Homes; negative for no route.
	placement int
}

// publisher publishes the versions of a schedule.
type publisher struct {
	profile    profile
	examples   string
	directory  string
	deployment *ffdeployment.Deployment

	number  uint64
	amended int
	current content
	earlier []content
	// publications are all published versions, in order.
	publications []Publication
}

// run publishes each change at its time.
func (p *publisher) run(ctx context.Context, start time.Time, changes []Change) error {
	for _, c := range changes {
		if !sleepUntil(ctx, start.Add(time.Duration(c.AtMillis)*time.Millisecond)) {
			return nil
		}
		if err := p.publish(ctx, c.Kind); err != nil {
			return err
		}
	}
	return nil
}

// publish publishes the next version.
func (p *publisher) publish(ctx context.Context, kind ChangeKind) error {
	p.number++
	next := p.change(kind)
	directory, bundle, err := p.build(next)
	if err != nil {
		return err
	}
	published := publicationOf(kind, bundle)
	switch kind {
	case ChangeCorrupt:
		published.Faulty = true
		err = corrupt(directory, bundle, p.profile.Amend.Customer)
	case ChangeDangling:
		published, err = makeDangling(directory, bundle, published)
	case ChangeRace:
		published.Races = true
		if err := p.race(ctx, next); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	if !published.Faulty {
		p.earlier = append(p.earlier, p.current)
		p.current = next
	}
	return p.put(ctx, directory, published)
}

// put puts a bundle on the platform.
func (p *publisher) put(ctx context.Context, directory string, published Publication) error {
	if err := p.deployment.Platform.PublishBundle(ctx, directory); err != nil {
		return err
	}
	published.At = time.Now()
	p.publications = append(p.publications, published)
	return nil
}

// race publishes another version under the same number.
func (p *publisher) race(ctx context.Context, other content) error {
	p.amended++
	other.amended = p.amended
	directory, bundle, err := p.build(other)
	if err != nil {
		return err
	}
	published := publicationOf(ChangeRace, bundle)
	published.Races = true
	return p.put(ctx, directory, published)
}

// change returns the content of the next version.
func (p *publisher) change(kind ChangeKind) content {
	next := p.current
	switch kind {
	case ChangeRemove:
		next.placement = -1
	case ChangeRollBack:
		if len(p.earlier) > 0 {
			return p.earlier[len(p.earlier)-1]
		}
	case ChangeMove:
		next.placement = (next.placement + 1) % len(p.profile.Moving.Homes)
	default:
		p.amended++
		next.amended = p.amended
	}
	return next
}

// build writes the declarations of a content and builds their bundle.
func (p *publisher) build(c content) (string, *ffdeclaration.Bundle, error) {
	declarations := filepath.Join(p.directory, "declarations")
	if err := p.declare(declarations, c); err != nil {
		return "", nil, &Error{Op: "declare", Kind: ErrorFile, Err: err}
	}
	directory, _, err := p.deployment.Build(declarations, p.number)
	if err != nil {
		return "", nil, err
	}
	bundle, err := ffdeclaration.ReadBundle(directory)
	return directory, bundle, err
}

func (p *publisher) declare(directory string, c content) error {
	if err := os.RemoveAll(directory); err != nil {
		return err
	}
	if err := os.CopyFS(directory, os.DirFS(p.examples)); err != nil {
		return err
	}
	amend := p.profile.Amend
	amended := fmt.Sprintf("%s.%04d", amend.Field, c.amended)
	if err := edit(contractPath(directory, amend.Customer), func(text string) string {
		return strings.Replace(text, amend.Field+"\n", amended+"\n", 1)
	}); err != nil {
		return err
	}
	if c.placement < 0 {
		return nil
	}
	return p.declareMoving(directory, p.profile.Moving.Homes[c.placement])
}

func (p *publisher) declareMoving(directory string, at placement) error {
	if err := edit(contractPath(directory, p.profile.Moving.Customer), func(text string) string {
		return strings.TrimRight(text, "\n") + "\n  - " + movingRoute + "\n"
	}); err != nil {
		return err
	}
	route := fmt.Sprintf("route: %s\nmethod: GET\npath: %s\nservice: %s\nresource: %s\nclass: short\nidempotent: true\ntimeoutMillis: 1000\n",
		movingRoute, movingPath, at.Service, at.Resource)
	return os.WriteFile(filepath.Join(directory, "routes", movingRoute+".yaml"), []byte(route), fileMode)
}

func contractPath(directory, customer string) string {
	return filepath.Join(directory, "contracts", customer+".yaml")
}

// edit replaces the text of a file; the text must change.
func edit(path string, change func(string) string) error {
	before, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	after := change(string(before))
	if after == string(before) {
		return merry.Errorf("%s did not change", path)
	}
	return os.WriteFile(path, []byte(after), fileMode)
}

// corrupt damages the piece of a contract in a bundle.
func corrupt(directory string, b *ffdeclaration.Bundle, customer string) error {
	for _, piece := range b.Snapshot.Manifest().Pieces {
		if piece.Kind != ffconfig.PieceContract || piece.Name != customer {
			continue
		}
		damaged := append([]byte{corruptByte}, b.Pieces[piece.Digest]...)
		path := filepath.Join(directory, "pieces", string(piece.Digest))
		if err := os.WriteFile(path, damaged, fileMode); err != nil {
			return &Error{Op: "corrupt", Kind: ErrorFile, Err: err}
		}
		return nil
	}
	return &Error{Op: "corrupt", Kind: ErrorUsage, Err: merry.Errorf("no contract of %s", customer)}
}

// makeDangling removes the first service from the manifest of a bundle, which
// leaves routes that refer to it dangling.
func makeDangling(directory string, b *ffdeclaration.Bundle, published Publication) (Publication, error) {
	m := ffconfig.Manifest{Number: b.Snapshot.Version().Number}
	removed := false
	for _, piece := range b.Snapshot.Manifest().Pieces {
		if piece.Kind == ffconfig.PieceService && !removed {
			removed = true
			continue
		}
		m.Pieces = append(m.Pieces, piece)
	}
	encoded, err := m.Encode()
	if err != nil {
		return published, &Error{Op: "dangle", Kind: ErrorFile, Err: err}
	}
	if err := os.WriteFile(filepath.Join(directory, "manifest"), encoded, fileMode); err != nil {
		return published, &Error{Op: "dangle", Kind: ErrorFile, Err: err}
	}
	published.Version.Digest = ffconfig.DigestOf(encoded)
	published.Faulty = true
	return published, nil
}

func publicationOf(kind ChangeKind, b *ffdeclaration.Bundle) Publication {
	s := b.Snapshot
	published := Publication{Kind: kind, Version: s.Version(), Allowed: make(map[string][]string)}
	for _, r := range s.Routes() {
		published.Routes = append(published.Routes, *r)
	}
	for _, name := range s.Services() {
		service, _ := s.Service(name)
		published.Services = append(published.Services, *service)
	}
	for _, customer := range s.Customers() {
		contract, _ := s.Contract(customer)
		published.Allowed[customer] = contract.Routes
	}
	return published
}

// sleepUntil waits until at and returns true, or false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
