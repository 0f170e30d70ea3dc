package ffport

import "golang.org/x/sys/unix"

// Parts of a TCP header: the offset of its flags, and two of them.
const (
	flagsOffset = 13
	flagSYN     = 0x02
	flagACK     = 0x10
)

// wholeSegment keeps all bytes of a segment.
const wholeSegment = 0xffffffff

// dropOpening returns a socket filter that drops the first segment of each new
// connection and lets all others pass.
func dropOpening() *unix.SockFprog {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSYN | flagACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: flagSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: wholeSegment},
	}
	return &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
}
