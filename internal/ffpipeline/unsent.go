package ffpipeline

// unsent is the part of a response's body that has not been sent. It is kept in pieces of at
// most flushSize bytes, so that a long one takes little more memory than its length. The
// zero value is empty.
type unsent struct {
	pieces [][]byte
	length int
}

// write appends p.
func (u *unsent) write(p []byte) {
	u.length += len(p)
	for len(p) > 0 {
		if n := len(u.pieces); n == 0 || len(u.pieces[n-1]) == flushSize {
			u.pieces = append(u.pieces, nil)
		}
		last := &u.pieces[len(u.pieces)-1]
		n := min(len(p), flushSize-len(*last))
		*last = append(*last, p[:n]...)
		p = p[n:]
	}
}
