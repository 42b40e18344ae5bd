package daemon

import (
	"strings"

	"go.uber.org/zap"
)

// httpLogWriter logs the error lines of HTTP servers. It moves the peer address of
// a failed TLS handshake from the message to a field. With the address in the
// message, no line would repeat and the log sampler would pass them all: a host
// with an expired certificate causes one for each call.
type httpLogWriter struct{ log *zap.Logger }

// Write implements io.Writer. Each call gets one line.
func (l httpLogWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	rest, handshake := strings.CutPrefix(text, "http: TLS handshake error from ")
	if peer, reason, ok := strings.Cut(rest, ": "); handshake && ok {
		l.log.Info("TLS handshake failed.", zap.String("peer", peer), zap.String("reason", reason))
	} else {
		l.log.Info(text)
	}
	return len(line), nil
}
