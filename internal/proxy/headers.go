package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/peridotlb/peridotlb/internal/gate"
)

// formatQueue formats how a call queues at the gate of another host: its priority
// and, in milliseconds, the time until its target, its longest wait and its
// expected run time. It returns "" for a call without a target, which queues with
// the defaults of the gate.
func formatQueue(c gate.Call, now time.Time) string {
	if c.Target.IsZero() {
		return ""
	}
	text := strconv.AppendUint(nil, uint64(c.Priority), 10)
	text = append(text, ',')
	text = strconv.AppendInt(text, c.Target.Sub(now).Milliseconds(), 10)
	text = append(text, ',')
	text = strconv.AppendInt(text, max(1, c.MaxWait.Milliseconds()), 10)
	text = append(text, ',')
	text = strconv.AppendInt(text, max(1, c.ExpectedRunTime.Milliseconds()), 10)
	return string(text)
}

// parseQueue parses the output of formatQueue. Anything else yields the zero call.
func parseQueue(text string, now time.Time) gate.Call {
	var numbers [4]int64
	for i := range numbers {
		var number string
		var more bool
		number, text, more = strings.Cut(text, ",")
		n, err := strconv.ParseInt(number, 10, 32)
		if err != nil || more != (i < len(numbers)-1) {
			return gate.Call{}
		}
		numbers[i] = n
	}
	priority, target, wait, run := numbers[0], numbers[1], numbers[2], numbers[3]
	if priority < 0 || priority > math.MaxUint8 || wait < 0 || run < 0 {
		return gate.Call{}
	}
	return gate.Call{
		Priority: uint8(priority), Target: now.Add(time.Duration(target) * time.Millisecond),
		MaxWait: time.Duration(wait) * time.Millisecond, ExpectedRunTime: time.Duration(run) * time.Millisecond,
	}
}

const (
	// waitPrefix precedes the forecast waits in milliseconds, by priority band, and
	// holdPrefix the mean time for which calls hold a slot.
	waitPrefix = ";wait="
	holdPrefix = ";hold="
	// linkPrefix precedes the time in milliseconds that the link takes for the large
	// responses that were admitted.
	linkPrefix = ";link="
	// failingSuffix marks a server whose last health probe failed. It informs the
	// entries without extra traffic between daemons.
	failingSuffix = ";health=failing"
)

func formatLoad(l gate.Load, f gate.Forecast) string {
	text := strconv.Itoa(l.InFlight) + "/" + strconv.Itoa(l.Slots)
	if ms := f.ExpectedSlotTime.Milliseconds(); ms > 0 {
		text += holdPrefix + strconv.FormatInt(ms, 10)
	}
	if f.Wait[gate.PriorityBands-1] >= time.Millisecond {
		separator := waitPrefix
		for _, wait := range f.Wait {
			text += separator + strconv.FormatInt(wait.Milliseconds(), 10)
			separator = ","
		}
	}
	if ms := f.LinkWait.Milliseconds(); ms > 0 {
		text += linkPrefix + strconv.FormatInt(ms, 10)
	}
	if l.ProbeFailing {
		text += failingSuffix
	}
	return text
}

// parseLoad parses "<in-flight>/<slots>" with or without the optional parts.
// Anything else yields the zero load.
func parseLoad(text string) (gate.Load, gate.Forecast) {
	text, failing := strings.CutSuffix(text, failingSuffix)
	text, link, _ := strings.Cut(text, linkPrefix)
	text, waits, _ := strings.Cut(text, waitPrefix)
	text, hold, _ := strings.Cut(text, holdPrefix)
	a, b, _ := strings.Cut(text, "/")
	inFlight, err1 := strconv.ParseUint(a, 10, 16)
	slots, err2 := strconv.ParseUint(b, 10, 16)
	f := gate.Forecast{}
	var err3, err4, err5 error
	if hold != "" {
		f.ExpectedSlotTime, err3 = parseMilliseconds(hold)
	}
	if waits != "" {
		f.Wait, err4 = parseWaits(waits)
	}
	if link != "" {
		f.LinkWait, err5 = parseMilliseconds(link)
	}
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil || err5 != nil {
		return gate.Load{}, gate.Forecast{}
	}
	return gate.Load{InFlight: int(inFlight), Slots: int(slots), ProbeFailing: failing}, f
}

func parseMilliseconds(text string) (time.Duration, error) {
	ms, err := strconv.ParseUint(text, 10, 31)
	return time.Duration(ms) * time.Millisecond, err
}

// parseWaits parses one wait per priority band. Bands that a daemon of another
// release does not report get the wait of the last reported band.
func parseWaits(text string) (waits [gate.PriorityBands]time.Duration, err error) {
	for band := range waits {
		var number string
		if number, text, _ = strings.Cut(text, ","); number == "" {
			waits[band] = waits[max(band-1, 0)]
			continue
		}
		if waits[band], err = parseMilliseconds(number); err != nil {
			return waits, err
		}
	}
	return waits, nil
}

// gateFailure returns the failure that a gate reported.
func gateFailure(reason string, h http.Header) *failure {
	notRun := h.Get(HeaderNotRun) == "true"
	f := &failure{
		reason: reason, notRun: notRun, refused: notRun && reason != reasonServerUnreachable,
		serverFull:        reason == reasonServerFull || reason == reasonServerLimited || reason == reasonQueueTimeout || reason == reasonLinkFull,
		serverUnavailable: reason == reasonDraining || reason == reasonVersion || reason == reasonSuspended || reason == reasonNotReady,
		noRetry:           h.Get(HeaderNoRetry) == "true",
	}
	if reason == reasonLinkFull {
		f.retryAfter = parseRetryAfter(h.Get("Retry-After"))
	}
	return f
}
