// Package release tells which release of peridotlb a binary is.
package release

import "runtime/debug"

// number is set by the linker: -X .../internal/release.number=1.2.3.
var number string

// Number returns the release, or the version control revision of the build.
func Number() string {
	if number != "" {
		return number
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "development"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			return "development-" + s.Value[:12]
		}
	}
	return "development"
}
