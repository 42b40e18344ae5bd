package proxy

import (
	"net/http"
	"testing"
)

// Guards against load headers that are misread.
func TestLoadPercent(t *testing.T) {
	d := Dialect{ServerLoad: "X-Server-Load"}
	for text, want := range map[string]float64{
		"3,0,18,250": 250, " 3,0,18,99.5 ": 99.5, "3,0,18": 0, "": 0, "3,0,18,": 0, "3,0,18,0": 0, "3,0,18,1e3": 0,
		"3,0,18,-5": 0, "3,0,18,99999": 0, "3,0,18,100,1": 0, "x,0,18,100": 0, "3;0;18;100": 0, "3,0,18,100000": 0,
	} {
		if got := d.loadPercent(http.Header{"X-Server-Load": {text}}); got != want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
	if got := d.loadPercent(http.Header{"X-Server-Load": {"3,0,18,250", "3,0,18,250"}}); got != 0 {
		t.Errorf("two headers: got %v, want 0", got)
	}
	if got := (Dialect{}).loadPercent(http.Header{HeaderServerLoad: {"3,0,18,250"}}); got != 250 {
		t.Errorf("built-in name: got %v, want 250", got)
	}
}
