package ffrelay

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// chunkBytes is the size of the read buffer, in bytes.
	chunkBytes = 32 << 10
	// queueCapacity is the maximum number of queued chunks per direction.
	queueCapacity = 256
)

// chunk is the result of one read and its time.
type chunk struct {
	content []byte
	readAt  time.Time
}

// pipe is one direction of a link.
type pipe struct {
	link      *link
	direction Direction
	src, dst  net.Conn
	chunks    chan chunk
	// silent is set once bytes were discarded; no later byte is forwarded, so that the
	// receiver never gets a stream with a gap.
	silent atomic.Bool
	// forwarded counts the bytes forwarded under the fault of the given epoch.
	forwarded int64
	epoch     uint64
}

func newPipe(l *link, direction Direction, src, dst net.Conn) *pipe {
	return &pipe{link: l, direction: direction, src: src, dst: dst, chunks: make(chan chunk, queueCapacity)}
}

// readLoop queues chunks until the source ends.
func (p *pipe) readLoop() {
	defer close(p.chunks)
	for {
		content := make([]byte, chunkBytes)
		n, err := p.src.Read(content)
		if n > 0 && !p.enqueue(chunk{content: content[:n], readAt: time.Now()}) {
			return
		}
		if err != nil {
			p.handleReadError(err)
			return
		}
	}
}

// enqueue reports false if the link was closed.
func (p *pipe) enqueue(c chunk) bool {
	select {
	case p.chunks <- c:
		return true
	case <-p.link.closed:
		return false
	}
}

// handleReadError resets the link after a read error other than io.EOF, unless the pipe
// discards everything.
func (p *pipe) handleReadError(err error) {
	if !errors.Is(err, io.EOF) && !p.isSilent() {
		p.link.reset()
	}
}

// writeLoop forwards chunks until the source has ended, then closes the write side of
// the destination.
func (p *pipe) writeLoop() {
	for c := range p.chunks {
		if !p.forward(c) {
			return
		}
	}
	end := chunk{readAt: time.Now()}
	if !p.forward(end) || p.silent.Load() {
		return
	}
	if tcp, ok := p.dst.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// isSilent reports whether the pipe currently discards everything, including the end of
// the stream.
func (p *pipe) isSilent() bool {
	v := p.link.relay.faultState()
	return p.silent.Load() || (v.fault.Kind == FaultSilent && v.fault.appliesTo(p.direction))
}

// forward applies the current fault to one chunk and reports whether the pipe is still
// usable.
func (p *pipe) forward(c chunk) bool {
	for {
		v := p.link.relay.faultState()
		if v.epoch != p.epoch {
			p.epoch = v.epoch
			p.forwarded = 0
		}
		if p.silent.Load() {
			return true
		}
		if !v.fault.appliesTo(p.direction) {
			return p.write(c.content)
		}
		switch v.fault.Kind {
		case FaultSilent:
			p.silent.Store(true)
			return true
		case FaultHold:
			if !p.wait(v, nil) {
				return false
			}
		case FaultDelay:
			left := time.Until(c.readAt.Add(v.fault.Delay))
			if left <= 0 {
				return p.write(c.content)
			}
			if !p.sleep(v, left) {
				return false
			}
		case FaultCorrupt:
			return p.write(p.corrupt(c.content, v.fault.AfterBytes))
		case FaultTruncate:
			return p.truncate(c.content, v.fault.AfterBytes)
		default:
			return p.write(c.content)
		}
	}
}

// wait blocks until the fault changes or done fires. It returns false if the link was closed.
func (p *pipe) wait(v faultState, done <-chan time.Time) bool {
	select {
	case <-v.changed:
	case <-done:
	case <-p.link.closed:
		return false
	}
	return true
}

// sleep is wait with a timeout of d.
func (p *pipe) sleep(v faultState, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	return p.wait(v, timer.C)
}

func (p *pipe) write(content []byte) bool {
	p.forwarded += int64(len(content))
	if _, err := p.dst.Write(content); err != nil {
		p.link.reset()
		return false
	}
	return true
}

// corrupt returns content with one bit flipped in the byte at the stream offset, if that
// byte is in content.
func (p *pipe) corrupt(content []byte, offset int64) []byte {
	at := offset - p.forwarded
	if at < 0 || at >= int64(len(content)) {
		return content
	}
	changed := bytes.Clone(content)
	changed[at] ^= 1
	return changed
}

// truncate forwards bytes up to the stream offset and then closes the link.
func (p *pipe) truncate(content []byte, offset int64) bool {
	left := offset - p.forwarded
	if int64(len(content)) < left {
		return p.write(content)
	}
	if left > 0 && !p.write(content[:left]) {
		return false
	}
	p.link.close()
	return false
}
