package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
)

// PutObject implements ObjectStore.
func (r *Remote) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := r.objects.PutObject(ctx, &s3.PutObjectInput{
		Bucket: &r.bucket,
		Key:    &name,
		Body:   bytes.NewReader(data),
	})
	if err != nil {
		return fmt.Errorf("put object %s: %w", name, err)
	}
	return nil
}

// GetObject implements ObjectStore.
func (r *Remote) GetObject(ctx context.Context, name string) ([]byte, error) {
	out, err := r.objects.GetObject(ctx, &s3.GetObjectInput{Bucket: &r.bucket, Key: &name})
	if err != nil {
		var missing *types.NoSuchKey
		if errors.As(err, &missing) {
			return nil, fmt.Errorf("get object %s: %w", name, ErrNotFound)
		}
		return nil, fmt.Errorf("get object %s: %w", name, err)
	}
	defer func() { _ = out.Body.Close() }()
	data, err := io.ReadAll(out.Body)
	if err != nil {
		return nil, fmt.Errorf("read object %s: %w", name, err)
	}
	return data, nil
}
