package daemon

import (
	"strings"

	"go.uber.org/zap"
)

// serverLog takes the lines of HTTP servers. Those of failed handshakes have the
// address in their text, which would let every one of them pass the limiter of
// repeats: a host with an expired certificate makes one for each call.
type httpLogWriter struct{ log *zap.Logger }

// Write implements io.Writer. It takes one line.
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
