package ffport

import "golang.org/x/sys/unix"

// Offset of the flags in a TCP header, in bytes, and two flags.
const (
	flagsOffset = 13
	flagSYN     = 0x02
	flagACK     = 0x10
)

// acceptSegment is the filter result that accepts all bytes of a segment.
const acceptSegment = 0xffffffff

// dropSYN returns a socket filter that drops the SYN of each new connection
// and accepts all other segments.
func dropSYN() *unix.SockFprog {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSYN | flagACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: flagSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptSegment},
	}
	return &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
}
