package daemon

import (
	"context"
	"errors"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/platform"
)

// failingPlatform is a platform whose reads fail with a fixed error.
type failingPlatform struct {
	platform.Service
	err error
}

func (p failingPlatform) Get(context.Context, ...platform.Key) ([]platform.Row, error) {
	return nil, p.err
}

func (p failingPlatform) GetObject(context.Context, string) ([]byte, error) { return nil, p.err }

// Verifies that an error names the component of the platform that failed, so that
// operators do not get the error text of a client library, and that callers still
// find the original error in the chain.
func TestPlatformErrorNamesComponent(t *testing.T) {
	cause := errors.New("operation error DynamoDB: GetItem")
	p := newInstrumentedPlatform(failingPlatform{err: cause}, metrics.NewSet())
	_, table := p.Get(t.Context(), "head")
	_, object := p.GetObject(t.Context(), "name")
	for want, err := range map[operator.PlatformComponent]error{operator.Table: table, operator.ObjectStore: object} {
		var failed *operator.PlatformError
		if !errors.As(err, &failed) || failed.Component != want || !errors.Is(err, cause) {
			t.Errorf("got error %v, want one that names component %q and wraps its cause", err, want)
		}
	}
	for _, plain := range []error{platform.ErrNotFound, context.Canceled} {
		_, err := newInstrumentedPlatform(failingPlatform{err: plain}, metrics.NewSet()).GetObject(t.Context(), "name")
		if err != plain {
			t.Errorf("got error %v, want %v alone", err, plain)
		}
	}
}
