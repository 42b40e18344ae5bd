package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// coreBenchmarks are the benchmarks of the decision core. Loading a version of
// 1.1 MB takes far longer than the other steps, so it has an iteration count of
// its own.
var coreBenchmarks = []struct{ pattern, count string }{
	{"^BenchmarkCore$/^(tick|probe|row)$", "2000x"},
	{"^BenchmarkCore$/^(version|tables)$", "10x"},
}

// Rates per second of one daemon in the target fleet of 1,200 hosts.
const (
	ticksPerSecond = 10.0
	// Two probes to the ring successors with their responses, and two probes from
	// the predecessors.
	probesPerSecond = 4.0
	// 7 zones in each of 2 regions: a region root also probes 6 zone roots every
	// second, and the root of the other region every 5 s.
	regionRootProbesPerSecond = probesPerSecond + 6 + 0.2
	// 192 restarts and failures a day change about 6 rows each, and each change
	// arrives from about 3 neighbors.
	rowsPerSecond     = 192 * 6 * 3 / 86400.0
	versionsPerSecond = 3500 / 86400.0 // 3,500 accepted versions a day
)

// benchResult is one line of the benchmark output.
type benchResult struct {
	step, role string
	hosts      int
	values     map[string]float64 // by unit
}

// measureCore runs the benchmarks of package fleet with the go command and prints
// the share of a CPU core that the measured steps take at the target rates.
func measureCore(ctx context.Context, r *reporter) error {
	var results []benchResult
	for _, run := range coreBenchmarks {
		c := exec.CommandContext(ctx, "go", "test", "./internal/fleet", "-run", "^$", "-bench", run.pattern, "-benchmem", "-benchtime", run.count)
		c.Stderr = os.Stderr
		out, err := c.Output()
		if err != nil {
			return fmt.Errorf("go test: %w: %s", err, out)
		}
		results = append(results, parseBenchmarks(out)...)
	}
	var rows []row
	for _, b := range results {
		// The step "tables" reports only the memory of the tables.
		if b.step == "tables" {
			rows = append(rows, row{
				{"step", b.step},
				{"role", b.role},
				{"hosts", b.hosts},
				{"time-us", "-"},
				{"allocs", "-"},
				{"alloc-bytes", "-"},
				{"table-kb", b.values["table-bytes"] / 1e3},
			})
			continue
		}
		rows = append(rows, row{
			{"step", b.step},
			{"role", b.role},
			{"hosts", b.hosts},
			{"time-us", b.values["ns/op"] / 1e3},
			{"allocs", b.values["allocs/op"]},
			{"alloc-bytes", b.values["B/op"]},
			{"table-kb", "-"},
		})
	}
	if err := r.printTable("steps of the decision core", rows...); err != nil {
		return err
	}
	return r.printTable("share of a core per daemon, decision core only", coreShares(results)...)
}

// parseBenchmarks parses benchmark output, which has lines such as
// "BenchmarkCore/tick/role=member/hosts=150-10  100  1317 ns/op  178 B/op".
func parseBenchmarks(out []byte) []benchResult {
	var list []benchResult
	lines := bufio.NewScanner(bytes.NewReader(out))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "BenchmarkCore/") {
			continue
		}
		parts := strings.Split(fields[0], "/")
		if len(parts) != 4 {
			continue
		}
		hosts, _, _ := strings.Cut(strings.TrimPrefix(parts[3], "hosts="), "-")
		b := benchResult{step: parts[1], role: strings.TrimPrefix(parts[2], "role="), values: map[string]float64{}}
		b.hosts, _ = strconv.Atoi(hosts)
		for i := 2; i+1 < len(fields); i += 2 {
			if v, err := strconv.ParseFloat(fields[i], 64); err == nil {
				b.values[fields[i+1]] = v
			}
		}
		list = append(list, b)
	}
	return list
}

func coreShares(results []benchResult) []row {
	seconds := func(step, role string, hosts int) float64 {
		for _, b := range results {
			if b.step == step && b.role == role && b.hosts == hosts {
				return b.values["ns/op"] / float64(time.Second)
			}
		}
		return 0
	}
	var rows []row
	for _, hosts := range []int{150, 600, 1200} {
		for _, role := range []string{"member", "region-root"} {
			probes := probesPerSecond
			if role == "region-root" {
				probes = regionRootProbesPerSecond
			}
			tick, probe := ticksPerSecond*seconds("tick", role, hosts), probes*seconds("probe", role, hosts)
			changed := rowsPerSecond * seconds("row", role, hosts)
			// The benchmark loads versions only in the role of a member.
			version := versionsPerSecond * seconds("version", "member", hosts)
			rows = append(rows, row{
				{"hosts", hosts},
				{"role", role},
				{"ticks-s", ticksPerSecond},
				{"probes-s", probes},
				{"tick-percent", percent(tick)},
				{"probe-percent", percent(probe)},
				{"row-percent", percent(changed)},
				{"version-percent", percent(version)},
				{"all-percent", percent(tick + probe + changed + version)},
			})
		}
	}
	return rows
}

// percent formats a share with four decimals. Table cells round small numbers to
// two decimals, which would show small shares as zero.
func percent(share float64) string { return strconv.FormatFloat(100*share, 'f', 4, 64) }
