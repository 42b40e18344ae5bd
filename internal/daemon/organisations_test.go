package daemon

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/organisation"
	"github.com/peridotlb/peridotlb/internal/proxy"
)

// Verifies over real connections that calls need a key, that backend servers learn the
// organisation and no key, that all daemons together keep within a quota and use it, and
// that no daemon logs a key.
func TestOrganisationAcrossDaemons(t *testing.T) {
	t.Parallel()
	daemons := startFleet(t, "pwani-a", "pwani-a", "pwani-b")
	const rate, burst = 8, 8
	text := testDocument + fmt.Sprintf("    organisations: [{name: acme, key-digests: [%q], rate-per-second: %d, burst: %d}]\n", organisation.DigestOf(testToken), rate, burst)
	status, _, answer := request(t, "POST", daemons[0].settings.OperatorAddress, "/v1/submissions", fmt.Sprintf(`{"id":"s-1","base":0,"document":%q}`, text))
	if status != http.StatusOK {
		t.Fatalf("submission: got %d %s", status, answer)
	}
	var mu sync.Mutex
	var runs []time.Time
	daemons[1].announceServer(t, "stock-b", func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, time.Now())
		if r.Header.Get(proxy.HeaderOrganisation) != "acme" || r.Header["Authorization"] != nil {
			t.Errorf("got headers %v at the server, want the organisation and no key", r.Header)
		}
	})
	outcomes := make(map[int]int)
	for _, d := range daemons {
		eventually(t, longWait, "call through "+string(d.settings.HostID), func() bool {
			status, _, _ := request(t, "GET", d.settings.CallAddress, "/stock", "")
			return status == http.StatusOK
		})
		response, err := http.Get("http://" + d.settings.CallAddress.String() + "/stock")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusUnauthorized {
			t.Errorf("without a key: got %d, want 401", response.StatusCode)
		}
	}
	eventually(t, longWait, "calls over the quota are refused, others run", func() bool {
		for _, d := range daemons {
			status, header, _ := request(t, "GET", d.settings.CallAddress, "/stock", "")
			outcomes[status]++
			if status == http.StatusTooManyRequests && (header.Get("Retry-After") == "" || header.Get(proxy.HeaderNotRun) != "true") {
				t.Errorf("got header %v with 429", header)
			}
		}
		return outcomes[http.StatusTooManyRequests] > 100 && outcomes[http.StatusOK] > 3*burst
	})
	mu.Lock()
	defer mu.Unlock()
	s := daemons[0].settings
	allowed := int((rate*s.QuotaWindow.Seconds()+burst)*(1+s.QuotaOverrun) + s.QuotaSlack)
	for first, last := 0, 0; last < len(runs); last++ {
		for runs[last].Sub(runs[first]) > s.QuotaWindow {
			first++
		}
		if n := last - first + 1; n > allowed {
			t.Fatalf("got %d runs within %v, want at most %d", n, s.QuotaWindow, allowed)
		}
	}
	for _, d := range daemons {
		if strings.Contains(d.log.String(), testToken) {
			t.Errorf("host %s logged a key", d.settings.HostID)
		}
	}
	t.Logf("outcomes by status: %v; %d runs", outcomes, len(runs))
}
