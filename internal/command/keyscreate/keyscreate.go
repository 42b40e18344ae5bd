// Package keyscreate implements "peridotlb keys create", which creates the
// certificate authority of a fleet and the certificates of its hosts.
package keyscreate

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/link"
)

// clockSkew is how far the clock of a host may be behind that of the machine on
// which its certificate was created.
const clockSkew = 5 * time.Minute

// Options are the options of the command.
type Options struct {
	Streams      command.Streams
	Directory    string
	Hosts        []string
	CAName       string        // common name in the certificate of a new certificate authority
	CAValidity   time.Duration // validity of a new certificate authority
	HostValidity time.Duration // validity of host certificates
	Now          func() time.Time
}

// New returns the "keys create" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Streams: s, Now: time.Now}
	fs := command.NewFlagSet("keys create")
	fs.StringVar(&o.Directory, "directory", ".", "`path` of the directory for the files")
	fs.StringVar(&o.CAName, "ca-name", "peridotlb CA", "`name` in a new CA certificate")
	fs.DurationVar(&o.CAValidity, "ca-valid", 10*365*24*time.Hour, "`duration` for which a new CA is valid")
	fs.DurationVar(&o.HostValidity, "valid", 365*24*time.Hour, "`duration` for which host certificates are valid")
	return command.NewCommand(command.Spec{
		Path: "keys create", Operands: "[HOST...]", MaxOperands: 10000,
		Short: "Create certificates and keys of hosts, and the certificate authority if there is none.",
		Long: `Writes HOST.pem and HOST-key.pem for each host id, signed by ca.pem and ca-key.pem
in the same directory. These two are created if both are absent. Existing files
are never overwritten. Keep ca-key.pem away from the hosts: whoever has it can
join the fleet.`,
		Examples: []string{
			"peridotlb keys create --directory keys pwani-a-1 pwani-a-2",
			"peridotlb keys create --directory keys --valid 2160h kaskazini-a-1",
		},
	}, fs, func(_ context.Context, operands []string) error {
		o.Hosts = operands
		return Run(o)
	})
}

// Run creates the certificate and key files.
func Run(o Options) error {
	if o.HostValidity <= 0 || o.CAValidity <= 0 {
		return command.UsageError("--valid and --ca-valid must be positive")
	}
	for _, h := range o.Hosts {
		if !document.ValidName(h) {
			return command.UsageError("host id %q is not kebab case, starting with a letter, of at most %d characters", h, document.MaxNameLength)
		}
		if h == "ca" {
			return command.UsageError("host id %q is reserved for the files of the certificate authority", h)
		}
	}
	if err := os.MkdirAll(o.Directory, 0o755); err != nil {
		return command.UsageError("--directory: %v", err)
	}
	notBefore := o.Now().Add(-clockSkew)
	ca, err := o.loadOrCreateCA(notBefore)
	if err != nil {
		return err
	}
	for _, h := range o.Hosts {
		keys, err := link.NewHostKeyPair(ca, h, notBefore, o.HostValidity+clockSkew)
		if err != nil {
			return err
		}
		if err := o.writeKeys(h, keys); err != nil {
			return err
		}
	}
	return nil
}

// loadOrCreateCA reads the certificate authority, or creates it if there is none.
func (o Options) loadOrCreateCA(notBefore time.Time) (link.KeyPair, error) {
	certificate, certErr := os.ReadFile(o.filePath("ca.pem"))
	key, keyErr := os.ReadFile(o.filePath("ca-key.pem"))
	switch {
	case certErr == nil && keyErr == nil:
		return link.KeyPair{Certificate: certificate, Key: key}, nil
	case errors.Is(certErr, fs.ErrNotExist) && errors.Is(keyErr, fs.ErrNotExist):
		ca, err := link.NewCA(o.CAName, notBefore, o.CAValidity+clockSkew)
		if err != nil {
			return ca, err
		}
		return ca, o.writeKeys("ca", ca)
	default:
		return link.KeyPair{}, command.Error{
			Code: command.ExitRefused, Text: fmt.Sprintf("certificate authority is incomplete: %v", errors.Join(certErr, keyErr)),
			Hint: "restore the missing file; existing hosts would not trust a new certificate authority",
		}
	}
}

func (o Options) filePath(name string) string { return filepath.Join(o.Directory, name) }

// writeKeys writes a certificate and its key. It writes the key first, so that an
// interruption cannot leave a certificate without its key.
func (o Options) writeKeys(name string, keys link.KeyPair) error {
	for _, f := range []struct {
		name string
		data []byte
		mode fs.FileMode
	}{{name + "-key.pem", keys.Key, 0o600}, {name + ".pem", keys.Certificate, 0o644}} {
		file, err := os.OpenFile(o.filePath(f.name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, f.mode)
		if errors.Is(err, fs.ErrExist) {
			return command.Error{Code: command.ExitRefused, Text: o.filePath(f.name) + " exists", Hint: "move it away to create another"}
		}
		if err != nil {
			return command.UsageError("%v", err)
		}
		_, err = file.Write(f.data)
		if err := errors.Join(err, file.Close()); err != nil {
			return fmt.Errorf("write %s: %w", o.filePath(f.name), err)
		}
		fmt.Fprintln(o.Streams.Out, o.filePath(f.name))
	}
	return nil
}
