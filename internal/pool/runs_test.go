package pool

import (
	"math"
	"testing"
	"time"
)

// Guards against a mean run time that stays near that of the first call, which can
// be far off, for the next fifty.
func TestRunTimeOfFirstCalls(t *testing.T) {
	var r routeStats
	var sum time.Duration
	for i, took := range []time.Duration{10, 700, 300, 900, 250, 1200, 40, 600} {
		took *= time.Millisecond
		sum += took
		r.record("read", took, 2000)
		want := sum / time.Duration(i+1)
		if got := r.estimate("read").runTime; math.Abs(float64(got-want)) > float64(time.Millisecond) {
			t.Errorf("after %d calls: got a mean of %v, want %v", i+1, got, want)
		}
	}
}

// Guards against a mean that stops following its route after many calls.
func TestRunTimeFollowsRoute(t *testing.T) {
	var r routeStats
	for range 1000 {
		r.record("read", 100*time.Millisecond, 2000)
	}
	for range 200 {
		r.record("read", 500*time.Millisecond, 2000)
	}
	if got, want := r.estimate("read").runTime, 480*time.Millisecond; got < want {
		t.Errorf("got a mean of %v after 200 calls of 500 ms, want at least %v", got, want)
	}
}
