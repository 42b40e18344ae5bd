package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/peridotlb/peridotlb/internal/link"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/internal/settings"
)

// Exit codes of the daemon.
const (
	exitOK    = 0
	exitError = 1 // the daemon could not start, or had to stop
	exitUsage = 2 // faults in the arguments, settings or key files
)

// Within each logSamplePeriod, the first logSampleFirst lines with the same text
// and level are logged.
const (
	logSamplePeriod = time.Second
	logSampleFirst  = 10
)

// Main runs the daemon and returns its exit code. With settings.Store as platform,
// adapt provides the platform and the environment; it may be nil.
func Main(ctx context.Context, args []string, out, errs io.Writer, adapt func(settings.Daemon, *zap.Logger) (platform.Service, Environment)) int {
	s, err := settings.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		_, _ = io.WriteString(out, settings.Help())
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return exitUsage
	}
	if err := checkKeys(s); err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return exitUsage
	}
	if s.Check {
		_, _ = fmt.Fprintln(out, "The settings are valid.")
		return exitOK
	}
	lines := newLogQueue(out)
	defer lines.Close()
	log, dropped := newLog(s, lines)
	lines.dropped = dropped
	log = log.With(zap.String("daemon", string(s.HostID)))
	c := Config{Settings: s, Log: log, LinesDropped: dropped}
	if s.Platform == settings.Store && adapt != nil {
		c.Platform, c.Environment = adapt(s, log)
	}
	d, err := New(ctx, c)
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errs, "peridotlbd:", err)
		return exitError
	}
	return exitOK
}

// checkKeys reports faults in the key files before any address is opened.
func checkKeys(s settings.Daemon) error {
	if s.Insecure() {
		return nil
	}
	_, err := link.LoadIdentity(link.CertificateConfig{CA: s.CAFile, Certificate: s.CertificateFile, Key: s.KeyFile})
	return err
}

// newLog returns a logger and the counter of the lines that it drops.
func newLog(s settings.Daemon, w io.Writer) (*zap.Logger, *atomic.Uint64) {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewConsoleEncoder(config)
	if s.LogFormat == settings.JSON {
		encoder = zapcore.NewJSONEncoder(config)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), s.LogLevel)
	// A repeated line is dropped after its tenth occurrence within a second, so
	// that a failing peer does not flood the log.
	dropped := new(atomic.Uint64)
	sampled := zapcore.NewSamplerWithOptions(core, logSamplePeriod, logSampleFirst, 0, zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			dropped.Add(1)
		}
	}))
	return zap.New(sampled), dropped
}
