package change

import "strings"

// maxLCSCells limits the table for the longest common subsequence to 64 MiB, at
// 4 bytes per cell. If the table would be larger, all lines between the common
// start and end of the texts count as replaced.
const maxLCSCells = 16 << 20

// contextLines is the number of equal lines shown around a difference.
const contextLines = 3

// LineDiff returns the difference of two texts: removed lines with "-", added
// lines with "+", and the equal lines around them with a space. It is empty for
// equal texts.
func LineDiff(from, to string) []string {
	a, b := splitLines(from), splitLines(to)
	start := 0
	for start < len(a) && start < len(b) && a[start] == b[start] {
		start++
	}
	end := 0
	for end < len(a)-start && end < len(b)-start && a[len(a)-1-end] == b[len(b)-1-end] {
		end++
	}
	var all []string
	for _, l := range a[:start] {
		all = append(all, " "+l)
	}
	all = append(all, diffLines(a[start:len(a)-end], b[start:len(b)-end])...)
	for _, l := range a[len(a)-end:] {
		all = append(all, " "+l)
	}
	return keepContext(all)
}

func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

// diffLines compares lines by their longest common subsequence.
func diffLines(a, b []string) []string {
	var out []string
	i, j := 0, 0
	if len(a)*len(b) <= maxLCSCells {
		// common[i][j] is the length of the longest common subsequence of a[i:]
		// and b[j:].
		common := make([][]int32, len(a)+1)
		for i := range common {
			common[i] = make([]int32, len(b)+1)
		}
		for i := len(a) - 1; i >= 0; i-- {
			for j := len(b) - 1; j >= 0; j-- {
				if a[i] == b[j] {
					common[i][j] = common[i+1][j+1] + 1
				} else {
					common[i][j] = max(common[i+1][j], common[i][j+1])
				}
			}
		}
		for i < len(a) && j < len(b) {
			switch {
			case a[i] == b[j]:
				out = append(out, " "+a[i])
				i, j = i+1, j+1
			case common[i+1][j] >= common[i][j+1]:
				out = append(out, "-"+a[i])
				i++
			default:
				out = append(out, "+"+b[j])
				j++
			}
		}
	}
	for _, l := range a[i:] {
		out = append(out, "-"+l)
	}
	for _, l := range b[j:] {
		out = append(out, "+"+l)
	}
	return out
}

// keepContext keeps differences and the lines around them, with "..." for gaps.
func keepContext(all []string) []string {
	keep := make([]bool, len(all))
	for i, l := range all {
		if l[0] != ' ' {
			for k := max(0, i-contextLines); k <= min(len(all)-1, i+contextLines); k++ {
				keep[k] = true
			}
		}
	}
	var out []string
	gap := false
	for i, l := range all {
		if !keep[i] {
			gap = true
			continue
		}
		if gap && len(out) > 0 {
			out = append(out, "...")
		}
		gap = false
		out = append(out, l)
	}
	return out
}
