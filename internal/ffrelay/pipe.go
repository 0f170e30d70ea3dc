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
	// chunkBytes bounds what is read at once, in bytes.
	chunkBytes = 32 << 10
	// chunkCapacity bounds the chunks on their way in one direction.
	chunkCapacity = 256
)

// chunk is some bytes with the time when they were read.
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
	// silent tells that bytes were lost, after which none may follow.
	silent atomic.Bool
	// passed counts the bytes passed on under the fault with the given epoch.
	passed int64
	epoch  uint64
}

func newPipe(l *link, direction Direction, src, dst net.Conn) *pipe {
	return &pipe{link: l, direction: direction, src: src, dst: dst, chunks: make(chan chunk, chunkCapacity)}
}

// run reads chunks until the source ends.
func (p *pipe) run() {
	defer close(p.chunks)
	for {
		content := make([]byte, chunkBytes)
		n, err := p.src.Read(content)
		if n > 0 && !p.push(chunk{content: content[:n], readAt: time.Now()}) {
			return
		}
		if err != nil {
			p.sourceEnded(err)
			return
		}
	}
}

func (p *pipe) push(c chunk) bool {
	select {
	case p.chunks <- c:
		return true
	case <-p.link.ended:
		return false
	}
}

// sourceEnded passes a reset on, unless nothing gets through.
func (p *pipe) sourceEnded(err error) {
	if !errors.Is(err, io.EOF) && !p.isSilent() {
		p.link.reset()
	}
}

// loop passes chunks on until the source has ended.
func (p *pipe) loop() {
	for c := range p.chunks {
		if !p.pass(c) {
			return
		}
	}
	end := chunk{readAt: time.Now()}
	if !p.pass(end) || p.silent.Load() {
		return
	}
	if tcp, ok := p.dst.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// isSilent reports whether nothing gets through now, the end of the stream included.
func (p *pipe) isSilent() bool {
	v := p.link.relay.view()
	return p.silent.Load() || (v.fault.Kind == FaultSilent && v.fault.concerns(p.direction))
}

// pass deals with one chunk as the fault says and reports whether more may follow.
func (p *pipe) pass(c chunk) bool {
	for {
		v := p.link.relay.view()
		if v.epoch != p.epoch {
			p.epoch = v.epoch
			p.passed = 0
		}
		if p.silent.Load() {
			return true
		}
		if !v.fault.concerns(p.direction) {
			return p.write(c.content)
		}
		switch v.fault.Kind {
		case FaultSilent:
			p.silent.Store(true)
			return true
		case FaultHeld:
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

// wait blocks until the fault changes or until done, and reports whether the link lives.
func (p *pipe) wait(v view, done <-chan time.Time) bool {
	select {
	case <-v.changed:
	case <-done:
	case <-p.link.ended:
		return false
	}
	return true
}

func (p *pipe) sleep(v view, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	return p.wait(v, timer.C)
}

func (p *pipe) write(content []byte) bool {
	p.passed += int64(len(content))
	if _, err := p.dst.Write(content); err != nil {
		p.link.reset()
		return false
	}
	return true
}

// corrupt returns content with the byte at the offset changed, if it is in there.
func (p *pipe) corrupt(content []byte, offset int64) []byte {
	at := offset - p.passed
	if at < 0 || at >= int64(len(content)) {
		return content
	}
	changed := bytes.Clone(content)
	changed[at] ^= 1
	return changed
}

// truncate passes bytes up to the offset and then closes the link.
func (p *pipe) truncate(content []byte, offset int64) bool {
	left := offset - p.passed
	if int64(len(content)) < left {
		return p.write(content)
	}
	if left > 0 && !p.write(content[:left]) {
		return false
	}
	p.link.close()
	return false
}
