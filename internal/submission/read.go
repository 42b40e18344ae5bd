package submission

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/internal/version"
)

// HeadKey is the key of the row that holds the manifest of the newest version.
const HeadKey platform.Key = "head"

// VersionKey returns the key of the row that holds the manifest of a version.
func VersionKey(n version.Number) platform.Key {
	return platform.Key("version/" + strconv.FormatUint(uint64(n), 10))
}

// RecordKey returns the key of the row that records an accepted submission.
func RecordKey(id version.SubmissionID) platform.Key {
	return platform.Key("submission/" + string(id))
}

// ErrNoVersion is returned for a version that was never accepted.
var ErrNoVersion = errors.New("no such version")

// maxSection bounds the decompressed content of a section in bytes. The
// canonical encoding is no larger than the document's text.
const maxSectionBytes = document.MaxBytes

// concurrentObjects bounds the object store requests of one call.
const maxConcurrentRequests = 8

// ReadHead reads the manifest of the newest version. It is the zero manifest
// when none was accepted yet.
func ReadHead(ctx context.Context, t platform.Table) (version.Manifest, error) {
	rows, err := t.Get(ctx, HeadKey)
	if err != nil {
		return version.Manifest{}, fmt.Errorf("read head: %w", err)
	}
	head, err := decodeManifestRow(rows, HeadKey)
	if errors.Is(err, ErrNoVersion) {
		return version.Manifest{}, nil
	}
	return head, err
}

// ReadVersion reads the manifest of a version, or returns ErrNoVersion.
func ReadVersion(ctx context.Context, t platform.Table, n version.Number) (version.Manifest, error) {
	rows, err := t.Get(ctx, VersionKey(n))
	if err != nil {
		return version.Manifest{}, fmt.Errorf("read version %d: %w", n, err)
	}
	return decodeVersionRow(rows, n)
}

// versionOf returns the manifest of a version from rows that were read.
func decodeVersionRow(rows []platform.Row, n version.Number) (version.Manifest, error) {
	m, err := decodeManifestRow(rows, VersionKey(n))
	if err == nil && m.Number != n {
		return version.Manifest{}, fmt.Errorf("read version %d: row holds version %d", n, m.Number)
	}
	return m, err
}

func findRow(rows []platform.Row, key platform.Key) platform.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return platform.Row{Key: key}
}

func decodeManifestRow(rows []platform.Row, key platform.Key) (version.Manifest, error) {
	row := findRow(rows, key)
	if row.Revision == 0 {
		return version.Manifest{}, fmt.Errorf("read %s: %w", key, ErrNoVersion)
	}
	m, err := version.DecodeManifest(row.Value)
	if err != nil {
		return version.Manifest{}, fmt.Errorf("read %s: %w", key, err)
	}
	return m, nil
}

// Load assembles a version from its manifest. Sections that the version have
// lacks come from the object store.
func Load(ctx context.Context, o platform.ObjectStore, m version.Manifest, have version.Snapshot) (version.Snapshot, error) {
	if m.Number == 0 {
		return version.Snapshot{}, nil
	}
	blobs := make(map[version.Digest][]byte, len(m.Sections))
	var missing []version.Digest
	for _, ref := range m.Sections {
		if _, ok := blobs[ref.Digest]; ok {
			continue
		}
		blobs[ref.Digest] = have.Blob(ref.Digest)
		if blobs[ref.Digest] == nil {
			missing = append(missing, ref.Digest)
		}
	}
	var lock sync.Mutex
	err := forEachDigest(ctx, missing, func(ctx context.Context, d version.Digest) error {
		data, err := o.GetObject(ctx, ObjectName(d))
		if err != nil {
			return fmt.Errorf("load version %d: section %s: %w", m.Number, d, err)
		}
		if data, err = message.Decompress(data, nil, maxSectionBytes); err != nil {
			return fmt.Errorf("load version %d: decompress section %s: %w", m.Number, d, err)
		}
		lock.Lock()
		defer lock.Unlock()
		blobs[d] = data
		return nil
	})
	if err != nil {
		return version.Snapshot{}, err
	}
	s, err := version.AssembleFromBase(have, m, blobs)
	if err != nil {
		return version.Snapshot{}, fmt.Errorf("load version %d: %w", m.Number, err)
	}
	return s, nil
}

// ObjectName returns the name of a section's content in the object store. The
// name is the digest of the content; the object is one zstd frame, because it
// may cross the region link.
func ObjectName(d version.Digest) string { return "section/" + d.String() }

// each calls f for every digest, several at a time, and returns the first
// error. The other calls are cancelled then.
func forEachDigest(ctx context.Context, digests []version.Digest, f func(context.Context, version.Digest) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	work := make(chan version.Digest)
	var group sync.WaitGroup
	for range min(maxConcurrentRequests, len(digests)) {
		group.Go(func() {
			for d := range work {
				if err := f(ctx, d); err != nil {
					cancel(err)
				}
			}
		})
	}
	for _, d := range digests {
		if ctx.Err() != nil {
			break
		}
		work <- d
	}
	close(work)
	group.Wait()
	return context.Cause(ctx)
}
