package ffdistribution

import (
	"encoding/hex"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

func digestOut(d ffconfig.Digest) []byte {
	b, err := hex.DecodeString(string(d))
	if err != nil {
		return nil
	}
	return b
}

func digestIn(b []byte) ffconfig.Digest { return ffconfig.Digest(hex.EncodeToString(b)) }

func versionOut(v ffconfig.Version) *ffprotocol.Version {
	if v.IsZero() {
		return nil
	}
	return &ffprotocol.Version{Number: v.Number, Digest: digestOut(v.Digest)}
}

func versionIn(v *ffprotocol.Version) ffconfig.Version {
	if v.GetNumber() == 0 {
		return ffconfig.Version{}
	}
	return ffconfig.Version{Number: v.GetNumber(), Digest: digestIn(v.GetDigest())}
}

func refsOut(refs []ffconfig.PieceRef) []*ffprotocol.PieceRef {
	out := make([]*ffprotocol.PieceRef, len(refs))
	for i, r := range refs {
		out[i] = &ffprotocol.PieceRef{Kind: int32(r.Kind), Name: r.Name, Digest: digestOut(r.Digest), Size: int64(r.Size)}
	}
	return out
}

func refsIn(refs []*ffprotocol.PieceRef) []ffconfig.PieceRef {
	in := make([]ffconfig.PieceRef, len(refs))
	for i, r := range refs {
		in[i] = ffconfig.PieceRef{Kind: ffconfig.PieceKind(r.GetKind()), Name: r.GetName(), Digest: digestIn(r.GetDigest()), Size: int(r.GetSize())}
	}
	return in
}

func vmOut(vm ffmember.VM) *ffprotocol.VM {
	return &ffprotocol.VM{
		Name:            vm.Name,
		DataCentre:      vm.DataCentre,
		Service:         vm.Service,
		PeerAddress:     vm.PeerAddress,
		ForwardAddress:  vm.ForwardAddress,
		OperatorAddress: vm.OperatorAddress,
		State:           int32(vm.State),
	}
}

func vmIn(vm *ffprotocol.VM) ffmember.VM {
	return ffmember.VM{
		Name:            vm.GetName(),
		DataCentre:      vm.GetDataCentre(),
		Service:         vm.GetService(),
		PeerAddress:     vm.GetPeerAddress(),
		ForwardAddress:  vm.GetForwardAddress(),
		OperatorAddress: vm.GetOperatorAddress(),
		State:           ffmember.State(vm.GetState()),
	}
}

func evidenceOut(all []ffmember.Evidence) []*ffprotocol.Evidence {
	out := make([]*ffprotocol.Evidence, len(all))
	for i, e := range all {
		evidence := &ffprotocol.Evidence{
			Vm:                vmOut(e.VM),
			Incarnation:       uint64(e.Incarnation),
			State:             int32(e.State),
			ExpiresUnixMillis: e.Expires.UnixMilli(),
		}
		out[i] = evidence.Seal()
	}
	return out
}

// evidenceIn returns the evidence that arrived intact.
func evidenceIn(all []*ffprotocol.Evidence) []ffmember.Evidence {
	in := make([]ffmember.Evidence, 0, len(all))
	for _, e := range all {
		if !e.Intact() {
			continue
		}
		in = append(in, ffmember.Evidence{
			VM:          vmIn(e.GetVm()),
			Incarnation: ffmember.Incarnation(e.GetIncarnation()),
			State:       ffmember.State(e.GetState()),
			Expires:     time.UnixMilli(e.GetExpiresUnixMillis()),
		})
	}
	return in
}
