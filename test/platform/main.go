// Command platform simulates the platform's table service and object store. It
// keeps all data in memory, and faults can be injected at run time.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/test/platform/stand"
)

// stopTimeout limits the wait for requests in flight at a graceful shutdown, and
// the time to read the headers of a request.
const stopTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	var config stand.Config
	listen := flag.String("listen", "127.0.0.1:0", "TCP address to listen on; port 0 chooses a free port")
	flag.StringVar(&config.Table, "table", "peridotlb", "name of the table")
	flag.StringVar(&config.Bucket, "bucket", "peridotlb", "name of the bucket")
	flag.Uint64Var(&config.Seed, "seed", 1, "seed for the choice of lost responses")
	expiry := flag.Duration("expiry-interval", time.Minute, "time between removals of expired rows")
	flag.Parse()
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if *expiry <= 0 {
		return fmt.Errorf("--expiry-interval %s is not positive", *expiry)
	}
	config.Memory = platform.NewMemory()
	go config.Memory.RemoveExpiredEvery(ctx, *expiry)
	server := &http.Server{Handler: stand.New(config), ReadHeaderTimeout: stopTimeout}
	fmt.Printf("listening on %s\n", listener.Addr())
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	deadline, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(deadline); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}
