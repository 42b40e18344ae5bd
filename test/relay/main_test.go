package main

import (
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/peridotlb/peridotlb/test/relay/relay"
)

func TestParseFlags(t *testing.T) { // guards against flags and file that describe different networks
	file := filepath.Join(t.TempDir(), "relay.json")
	text := `{"zones":[{"name":"a","number":1,"region":"r"},{"name":"b","number":2,"region":"s"}],
		"hosts":[{"address":"127.1.0.1","udp":[7000],"tcp":[7443]}],"zone-delay":"500us","region-delay":"12ms",
		"delays":[{"a":"r","b":"s","one-way":"20ms"}],"bandwidth":1000000}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	want, err := parseFlags([]string{"--config", file}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	got, err := parseFlags([]string{
		"--zone", "a:1:r", "--zone", "b:2:s", "--host", "127.1.0.1,udp:7000,tcp:7443", "--zone-delay", "500us",
		"--region-delay", "12ms", "--delay", "r:s:20ms", "--bandwidth", "1000000",
	}, io.Discard)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v and error %v, want %+v", got, err, want)
	}
	var empty relay.Config
	if reflect.DeepEqual(want, empty) {
		t.Error("the file was not read")
	}
	for _, args := range [][]string{{"--zone", "a"}, {"--host", "127.1.0.1,sctp:1"}, {"--host", "x"}, {"--delay", "a:b"}, {"--zone-delay", "-1s"}, {"extra"}} {
		if _, err := parseFlags(args, io.Discard); err == nil {
			t.Errorf("arguments %q were accepted", args)
		}
	}
}
