package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// bodyFor returns n bytes that look random and depend on id alone.
func bodyFor(id string, n int) []byte {
	b := make([]byte, n)
	s := sha256.Sum256([]byte(id))
	r := rand.New(rand.NewChaCha8(s))
	for i := 0; i+8 <= n; i += 8 {
		v := r.Uint64()
		for k := range 8 {
			b[i+k] = byte(v >> (8 * k))
		}
	}
	return b
}

// metric returns the lines of the metrics at address that begin with one of the names.
func metric(address string, names ...string) string {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	s := bufio.NewScanner(c)
	var out []string
	for s.Scan() {
		for _, n := range names {
			if strings.HasPrefix(s.Text(), n+" ") {
				out = append(out, s.Text())
			}
		}
	}
	return strings.Join(out, "; ")
}
