// Package stand serves the subset of the DynamoDB and S3 protocols that the
// platform adapter uses, on top of platform.Memory, with switchable faults.
package stand

import (
	"cmp"
	"net/http"
	"strings"

	"github.com/peridotlb/peridotlb/internal/platform"
)

// Config holds the settings of a Platform.
type Config struct {
	Memory *platform.Memory // default: an empty one
	Table  string           // name of the table; default "peridotlb"
	Bucket string           // name of the bucket; default "peridotlb"
	Seed   uint64           // seeds the choice of lost answers
}

// Platform is an http.Handler for both protocols and for the control endpoint:
//
//	GET    /-/counters   counters of reads and writes
//	GET    /-/faults     faults in effect
//	POST   /-/faults     changes the faults named in the JSON body
//	DELETE /-/faults     ends all faults
type Platform struct {
	memory   *platform.Memory
	table    string
	bucket   string
	faults   *faults
	counters counters
	mux      *http.ServeMux
}

// New returns a Platform without faults.
func New(c Config) *Platform {
	p := &Platform{
		memory: c.Memory,
		table:  cmp.Or(c.Table, "peridotlb"),
		bucket: cmp.Or(c.Bucket, "peridotlb"),
		faults: newFaults(c.Seed),
		mux:    http.NewServeMux(),
	}
	if p.memory == nil {
		p.memory = platform.NewMemory()
	}
	p.mux.HandleFunc("GET /-/counters", p.getCounters)
	p.mux.HandleFunc("GET /-/faults", p.getFaults)
	p.mux.HandleFunc("POST /-/faults", p.postFaults)
	p.mux.HandleFunc("DELETE /-/faults", p.deleteFaults)
	p.mux.HandleFunc("POST /{$}", p.serveTable)
	p.mux.HandleFunc("PUT /{bucket}/{name...}", p.putObject)
	p.mux.HandleFunc("GET /{bucket}/{name...}", p.getObject)
	return p
}

// Memory returns the rows and objects behind the protocols.
func (p *Platform) Memory() *platform.Memory { return p.memory }

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// signed reports whether the request carries a signature. The signature itself
// is not verified: the stand-in has no accounts.
func isSigned(r *http.Request) bool {
	return strings.HasPrefix(r.Header.Get("Authorization"), "AWS4-HMAC-SHA256 Credential=")
}
