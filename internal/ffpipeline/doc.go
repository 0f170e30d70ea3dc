// Package ffpipeline is an HTTP/1.1 server with pipelining. Where Server.MayRunAhead
// allows it, requests of one connection run concurrently; the responses are sent
// in the order of the requests.
package ffpipeline
