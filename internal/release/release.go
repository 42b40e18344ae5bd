// Package release provides the release number of the binary.
package release

import "runtime/debug"

// number is set by the linker: -X .../internal/release.number=1.2.3.
var number string

// Number returns the release number. A binary that was built without one returns
// "development", with the version control revision of the build if it is known.
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
