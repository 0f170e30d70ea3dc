package ffdistribution

import (
	"encoding/hex"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

func digestToProto(d ffconfig.Digest) []byte {
	b, err := hex.DecodeString(string(d))
	if err != nil {
		return nil
	}
	return b
}

func digestFromProto(b []byte) ffconfig.Digest { return ffconfig.Digest(hex.EncodeToString(b)) }

func versionToProto(v ffconfig.Version) *ffprotocol.Version {
	if v.IsZero() {
		return nil
	}
	return &ffprotocol.Version{Number: v.Number, Digest: digestToProto(v.Digest)}
}

func versionFromProto(v *ffprotocol.Version) ffconfig.Version {
	if v.GetNumber() == 0 {
		return ffconfig.Version{}
	}
	return ffconfig.Version{Number: v.GetNumber(), Digest: digestFromProto(v.GetDigest())}
}

func refsToProto(refs []ffconfig.PieceRef) []*ffprotocol.PieceRef {
	out := make([]*ffprotocol.PieceRef, len(refs))
	for i, r := range refs {
		out[i] = &ffprotocol.PieceRef{Kind: int32(r.Kind), Name: r.Name, Digest: digestToProto(r.Digest), Size: int64(r.Size)}
	}
	return out
}

func refsFromProto(refs []*ffprotocol.PieceRef) []ffconfig.PieceRef {
	in := make([]ffconfig.PieceRef, len(refs))
	for i, r := range refs {
		in[i] = ffconfig.PieceRef{Kind: ffconfig.PieceKind(r.GetKind()), Name: r.GetName(), Digest: digestFromProto(r.GetDigest()), Size: int(r.GetSize())}
	}
	return in
}

func vmToProto(vm ffmember.VM) *ffprotocol.VM {
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

func vmFromProto(vm *ffprotocol.VM) ffmember.VM {
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

func evidenceToProto(all []ffmember.Evidence) []*ffprotocol.Evidence {
	out := make([]*ffprotocol.Evidence, len(all))
	for i, e := range all {
		evidence := &ffprotocol.Evidence{
			Vm:                vmToProto(e.VM),
			Incarnation:       uint64(e.Incarnation),
			State:             int32(e.State),
			ExpiresUnixMillis: e.Expires.UnixMilli(),
		}
		out[i] = evidence.SetChecksum()
	}
	return out
}

// evidenceFromProto converts the evidence with a valid checksum and drops the rest.
func evidenceFromProto(all []*ffprotocol.Evidence) []ffmember.Evidence {
	in := make([]ffmember.Evidence, 0, len(all))
	for _, e := range all {
		if !e.HasValidChecksum() {
			continue
		}
		in = append(in, ffmember.Evidence{
			VM:          vmFromProto(e.GetVm()),
			Incarnation: ffmember.Incarnation(e.GetIncarnation()),
			State:       ffmember.State(e.GetState()),
			Expires:     time.UnixMilli(e.GetExpiresUnixMillis()),
		})
	}
	return in
}
