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
type broken struct {
	platform.Service
	err error
}

func (b broken) Get(context.Context, ...platform.Key) ([]platform.Row, error) { return nil, b.err }
func (b broken) GetObject(context.Context, string) ([]byte, error)            { return nil, b.err }

// Guards against operators who get the error text of a client library in place
// of the part of the platform that failed, and against a failure that hides the
// error that callers look for.
func TestPlatformErrorsNameThePart(t *testing.T) {
	cause := errors.New("operation error DynamoDB: GetItem")
	m := newMeteredPlatform(broken{err: cause}, metrics.NewSet())
	_, table := m.Get(t.Context(), "head")
	_, object := m.GetObject(t.Context(), "name")
	for want, err := range map[operator.Part]error{operator.Table: table, operator.ObjectStore: object} {
		var failed *operator.PlatformError
		if !errors.As(err, &failed) || failed.Part != want || !errors.Is(err, cause) {
			t.Errorf("got error %v, want one of part %q with its cause", err, want)
		}
	}
	for _, plain := range []error{platform.ErrNotFound, context.Canceled} {
		_, err := newMeteredPlatform(broken{err: plain}, metrics.NewSet()).GetObject(t.Context(), "name")
		if err != plain {
			t.Errorf("got error %v, want %v alone", err, plain)
		}
	}
}
