package backend

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/peridotlb/peridotlb/internal/codec"
	"github.com/peridotlb/peridotlb/internal/host"
)

// unversionedRow is the encoding of a row without a version. Releases that know no
// versions use the same encoding: their rows can be read here, and they can read the
// rows of servers that state no version.
type unversionedRow struct {
	_ struct{} `cbor:",toarray"`

	ID       ServerID
	Service  ServiceName
	Host     host.ID
	Addr     netip.AddrPort
	Slots    uint16
	State    State
	Started  int64
	Sequence uint64
	Stamp    host.Stamp
}

// versionedRow is the encoding of a row with a version.
type versionedRow struct {
	_ struct{} `cbor:",toarray"`

	ID       ServerID
	Service  ServiceName
	Host     host.ID
	Addr     netip.AddrPort
	Slots    uint16
	State    State
	Started  int64
	Sequence uint64
	Stamp    host.Stamp
	Version  Version
}

// versionedHead is the first byte of an encoded versionedRow, an array of 10 elements.
const versionedHead = 0x8a

var rowDecoder = codec.StrictDecMode(codec.Limits{MaxLevels: 4})

// errEmptyVersion is returned for a row that is encoded with an empty version, since
// every row has exactly one encoding.
var errEmptyVersion = errors.New("row of a backend server has an empty version")

// MarshalCBOR implements cbor.Marshaler.
func (s Server) MarshalCBOR() ([]byte, error) {
	if s.Version == "" {
		return codec.Marshal(unversionedRow{ID: s.ID, Service: s.Service, Host: s.Host, Addr: s.Addr, Slots: s.Slots, State: s.State, Started: s.Started, Sequence: s.Sequence, Stamp: s.Stamp})
	}
	return codec.Marshal(versionedRow{ID: s.ID, Service: s.Service, Host: s.Host, Addr: s.Addr, Slots: s.Slots, State: s.State, Started: s.Started, Sequence: s.Sequence, Stamp: s.Stamp, Version: s.Version})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (s *Server) UnmarshalCBOR(data []byte) error {
	var r versionedRow
	if len(data) > 0 && data[0] == versionedHead {
		if err := rowDecoder.Unmarshal(data, &r); err != nil {
			return fmt.Errorf("decode row of a backend server: %w", err)
		}
		if r.Version == "" {
			return errEmptyVersion
		}
	} else {
		var u unversionedRow
		if err := rowDecoder.Unmarshal(data, &u); err != nil {
			return fmt.Errorf("decode row of a backend server: %w", err)
		}
		r = versionedRow{ID: u.ID, Service: u.Service, Host: u.Host, Addr: u.Addr, Slots: u.Slots, State: u.State, Started: u.Started, Sequence: u.Sequence, Stamp: u.Stamp}
	}
	*s = Server{ID: r.ID, Service: r.Service, Host: r.Host, Addr: r.Addr, Slots: r.Slots, State: r.State, Started: r.Started, Sequence: r.Sequence, Stamp: r.Stamp, Version: r.Version}
	return nil
}
