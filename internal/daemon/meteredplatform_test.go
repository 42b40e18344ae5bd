package daemon

import (
	"context"
	"errors"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/platform"
)

// broken is a platform whose requests fail with one error.
type failingPlatform struct {
	platform.Service
	err error
}

func (b failingPlatform) Get(context.Context, ...platform.Key) ([]platform.Row, error) {
	return nil, b.err
}

func (b failingPlatform) GetObject(context.Context, string) ([]byte, error) { return nil, b.err }

// Guards against operators who get the error text of a client library in place
// of the part of the platform that failed, and against a failure that hides the
// error that callers look for.
func TestPlatformErrorNamesComponent(t *testing.T) {
	cause := errors.New("operation error DynamoDB: GetItem")
	m := newInstrumentedPlatform(failingPlatform{err: cause}, metrics.NewSet())
	_, table := m.Get(t.Context(), "head")
	_, object := m.GetObject(t.Context(), "name")
	for want, err := range map[operator.PlatformComponent]error{operator.Table: table, operator.ObjectStore: object} {
		var failed *operator.PlatformError
		if !errors.As(err, &failed) || failed.Component != want || !errors.Is(err, cause) {
			t.Errorf("got error %v, want one of part %q with its cause", err, want)
		}
	}
	for _, plain := range []error{platform.ErrNotFound, context.Canceled} {
		_, err := newInstrumentedPlatform(failingPlatform{err: plain}, metrics.NewSet()).GetObject(t.Context(), "name")
		if err != plain {
			t.Errorf("got error %v, want %v alone", err, plain)
		}
	}
}
