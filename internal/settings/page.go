package settings

import (
	"fmt"
	"strings"
)

// Help returns the text of --help.
func Help() string {
	var b strings.Builder
	b.WriteString(`Usage: peridotlbd --host-id=ID --availability-zone=ZONE --region=REGION [flags]

Runs the daemon of one host. Every flag can also be set in the environment
(--host-id is ` + EnvPrefix + `_HOST_ID) or in the file of --settings-file. Flags take
precedence, then the environment.

Example:
  peridotlbd --host-id=pwani-a-1 --availability-zone=pwani-a --region=pwani \
    --ca-file=ca.pem --certificate-file=pwani-a-1.pem --key-file=pwani-a-1-key.pem

Flags:
`)
	for _, s := range Table() {
		fmt.Fprintf(&b, "  --%s\n        %s\n        %s\n", s.Name, s.Help, s.properties())
	}
	b.WriteString("\nExit codes: 0 done, 1 failed, 2 faults in the arguments, settings or key files.\n")
	return b.String()
}

func (s Setting) properties() string {
	parts := []string{s.Unit}
	if s.Range != "" {
		parts[0] += " (" + s.Range + ")"
	}
	switch {
	case s.Required:
		parts = append(parts, "required")
	case s.Default != "":
		parts = append(parts, "default "+s.Default)
	}
	if s.Repeated {
		parts = append(parts, "may be repeated")
	}
	if s.Secret {
		parts = append(parts, "secret")
	}
	return strings.Join(parts, ", ")
}

// ReferencePage returns the content of docs/settings.md.
func ReferencePage() string {
	var b strings.Builder
	b.WriteString("# Settings of the daemon\n\n" +
		"Generated from the table in `internal/settings`; regenerate with `go test ./internal/settings -update`.\n\n" +
		"Settings are flags of `peridotlbd`, environment variables or lines of the file of `--settings-file`, in this order of precedence. " +
		"All faults are reported together, and `--check` only checks. Secret values are never printed.\n\n" +
		"| Flag | Environment | Default | Value | Range | Description |\n" +
		"| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range Table() {
		def := "none"
		switch {
		case s.Required:
			def = "required"
		case s.Default != "":
			def = "`" + s.Default + "`"
		}
		help := s.Help
		if s.Secret {
			help = "Secret. " + help
		}
		if s.Repeated {
			help += " May be repeated."
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s | %s | %s |\n", s.Name, s.Env(), def, s.Unit, s.Range, help)
	}
	return b.String()
}
