package ffgossip

import (
	"bytes"
	"compress/gzip"
	"net"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// FuzzHeartbeat checks that no datagram of another daemon ends the process.
func FuzzHeartbeat(f *testing.F) {
	for _, h := range []Heartbeat{{}, {Sequence: 2, Revision: Revision{Number: 3}, Digest: "1.a", ReadBy: vmNumber(1)}, {Sequence: 9, Leaving: true}} {
		b, err := cbor.Marshal(h)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		s := &State{}
		n := &Node{
			State: s, Peers: &Peers{}, Reader: &Reader{State: s}, conn: &net.UDPConn{}, Listen: netip.AddrPortFrom(vmNumber(2), 1),
			Load: func() ffmesh.Load { return ffmesh.Load{} }, OnHeartbeat: func(netip.Addr, Heartbeat) {}, pulls: make(chan netip.Addr, 1),
		}
		n.receive(vmNumber(1), b)
		n.hearers()
	})
}

// FuzzUpdate checks that no snapshot of another daemon ends the process, and that what it
// leads to can be used.
func FuzzUpdate(f *testing.F) {
	f.Add([]byte(`{"revision":{"epoch":1,"number":3},"table":{"version":2,"routes":[null,{"name":"a","host":"h","prefix":"/"}]},"targets":[{"id":"t"}]}`))
	f.Add([]byte(`{"revision":{"epoch":1,"number":3},"delta":{"base":1,"version":2,"changed":[null,{"name":"a"}],"removed":["r"]},"targetDelta":{"changed":[{}],"removed":["t"]}}`))
	f.Add([]byte(`{"targetDelta":null,"delta":null}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var zipped bytes.Buffer
		z := gzip.NewWriter(&zipped)
		if _, err := z.Write(b); err != nil {
			t.Fatal(err)
		}
		if err := z.Close(); err != nil {
			t.Fatal(err)
		}
		table := (&ffroute.Table{Version: 1, Routes: []*ffroute.Route{{Name: "r", Host: "h", Prefix: "/"}}}).Index()
		c, err := decodeUpdate(&zipped, table)
		if err != nil {
			return
		}
		s := &State{}
		known := fffleet.New([]fffleet.Target{{ID: "t", Service: "s"}})
		s.Merge(Reading{Revision: c.Revision, Table: c.Table, Fleet: c.fleet(known)})
		if table := s.Table(); table != nil {
			table.Match("h", "/x")
		}
		for _, target := range s.Fleet().All() {
			s.Fleet().At(target.Address)
		}
	})
}
