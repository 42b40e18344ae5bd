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

// RecordKey returns the key of the row that records the outcome of a submission.
func RecordKey(id version.SubmissionID) platform.Key {
	return platform.Key("submission/" + string(id))
}

// ErrNoVersion is returned for a version that is not in the table.
var ErrNoVersion = errors.New("no such version")

// maxSectionBytes limits the decompressed size of a section. The canonical
// encoding is never larger than the text of the document.
const maxSectionBytes = document.MaxBytes

// maxConcurrentRequests limits the concurrent object store requests of one call.
const maxConcurrentRequests = 8

// ReadHead reads the manifest of the newest version. It returns the zero
// manifest if no version was accepted yet.
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

// ReadVersion reads the manifest of a version. It returns ErrNoVersion if the
// table does not have the version.
func ReadVersion(ctx context.Context, t platform.Table, n version.Number) (version.Manifest, error) {
	rows, err := t.Get(ctx, VersionKey(n))
	if err != nil {
		return version.Manifest{}, fmt.Errorf("read version %d: %w", n, err)
	}
	return decodeVersionRow(rows, n)
}

// decodeVersionRow returns the manifest of version n, whose row is among rows.
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

// Load builds a version from its manifest. It reuses the sections of the version
// known and reads the others from the object store.
func Load(ctx context.Context, o platform.ObjectStore, m version.Manifest, known version.Snapshot) (version.Snapshot, error) {
	if m.Number == 0 {
		return version.Snapshot{}, nil
	}
	blobs := make(map[version.Digest][]byte, len(m.Sections))
	var missing []version.Digest
	for _, ref := range m.Sections {
		if _, ok := blobs[ref.Digest]; ok {
			continue
		}
		blobs[ref.Digest] = known.Blob(ref.Digest)
		if blobs[ref.Digest] == nil {
			missing = append(missing, ref.Digest)
		}
	}
	var mu sync.Mutex
	err := forEachDigest(ctx, missing, func(ctx context.Context, d version.Digest) error {
		data, err := o.GetObject(ctx, ObjectName(d))
		if err != nil {
			return fmt.Errorf("load version %d: section %s: %w", m.Number, d, err)
		}
		if data, err = message.Decompress(data, nil, maxSectionBytes); err != nil {
			return fmt.Errorf("load version %d: decompress section %s: %w", m.Number, d, err)
		}
		mu.Lock()
		defer mu.Unlock()
		blobs[d] = data
		return nil
	})
	if err != nil {
		return version.Snapshot{}, err
	}
	s, err := version.AssembleFromBase(known, m, blobs)
	if err != nil {
		return version.Snapshot{}, fmt.Errorf("load version %d: %w", m.Number, err)
	}
	return s, nil
}

// ObjectName returns the name of a section in the object store, which contains
// the digest of the section's encoding. The object is compressed as one zstd
// frame, because it may be transferred between regions.
func ObjectName(d version.Digest) string { return "section/" + d.String() }

// forEachDigest calls f for every digest, several at a time. It returns the first
// error and cancels the other calls.
func forEachDigest(ctx context.Context, digests []version.Digest, f func(context.Context, version.Digest) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	queue := make(chan version.Digest)
	var group sync.WaitGroup
	for range min(maxConcurrentRequests, len(digests)) {
		group.Go(func() {
			for d := range queue {
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
		queue <- d
	}
	close(queue)
	group.Wait()
	return context.Cause(ctx)
}
