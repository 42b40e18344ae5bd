// Command demo is a placeholder.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peridotlb/peridotlb/test/mesh"
)

const doc = `sections:
  - name: stock
    team: stock-team
    services:
      - name: bead-stock
        slots: %d
        connections: 130
        warm-up: 10s
    routes:
      - name: read-stock
        path-prefix: /stock
        methods: [GET]
        service: bead-stock
        timeout: 2s
        retries: 2
`

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
	defer cancel()
	m, err := mesh.Start(ctx, mesh.Config{Deployment: mesh.Kujaza, Bin: "bin", Tokens: "stock-team:stock-team-token-0001", Logs: true, Flags: os.Args[1:]})
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	defer m.Close()
	fmt.Println(m.Dir)
	time.Sleep(5 * time.Second)
	base := uint64(0)
	for i := range 5 {
		v, err := m.Hosts[i].Submit(ctx, "stock-team-token-0001", fmt.Sprintf("demo-%d", i), fmt.Sprintf(doc, 9+i), base)
		if err != nil {
			fmt.Println(err)
			break
		}
		base = v
		c, err := m.Converge(ctx, "stock-team-token-0001", v)
		fmt.Println(v, c, err)
		time.Sleep(2 * time.Second)
	}
	fmt.Println(m.SumMetric(ctx, `peridotlb_control_sent_bytes{path="all"}`), m.SumMetric(ctx, `peridotlb_control_sent_bytes{path="link"}`))
}
