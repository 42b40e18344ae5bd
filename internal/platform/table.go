package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
)

// Schema of the table. All rows are in one partition, because only a Query within a
// partition returns rows in the order of their keys. A DynamoDB partition supports
// 1,000 write units and 3,000 read units per second, which is more than the 75 writes
// and 500 reads per second that peridotlb may use.
const (
	// Partition is the value of the partition key of every row.
	Partition = "peridotlb"
	// AttributePartition is the partition key, a string.
	AttributePartition = "partition"
	// AttributeKey is the sort key, a string: the key of the row.
	AttributeKey = "key"
	// AttributeValue is the value of the row, binary.
	AttributeValue = "value"
	// AttributeRevision is the revision of the row, a number.
	AttributeRevision = "revision"
	// AttributeExpires is the expiry of the row in Unix seconds, a number. It is
	// absent if the row does not expire. It must be configured as the time to live
	// attribute of the table.
	AttributeExpires = "expires"
)

// Condition expressions of writes and queries. All attribute names are replaced by
// placeholders, because "key", "value" and "partition" are reserved words in
// DynamoDB expressions.
const (
	// ConditionAbsent requires the row to be absent.
	ConditionAbsent = "attribute_not_exists(#key)"
	// ConditionRevision requires the row to have the revision :revision.
	ConditionRevision = "#revision = :revision"
	// QueryAll selects all rows.
	QueryAll = "#partition = :partition"
	// QueryPrefix selects the rows whose key starts with :prefix.
	QueryPrefix = QueryAll + " AND begins_with(#key, :prefix)"
)

// maxBatchGet is the maximum number of keys in a BatchGetItem request.
const maxBatchGet = 100

// Get implements Table.
func (r *Remote) Get(ctx context.Context, keys ...Key) ([]Row, error) {
	found := make(map[Key]Row, len(keys))
	distinct := slices.Compact(slices.Sorted(slices.Values(keys)))
	for chunk := range slices.Chunk(distinct, maxBatchGet) {
		read := r.batchGetItems
		if len(chunk) == 1 {
			read = r.getItem
		}
		if err := read(ctx, chunk, found); err != nil {
			return nil, fmt.Errorf("get rows: %w", err)
		}
	}
	rows := make([]Row, len(keys))
	for i, key := range keys {
		rows[i] = found[key]
		rows[i].Key = key
	}
	return rows, nil
}

// getItem reads the row with the first key.
func (r *Remote) getItem(ctx context.Context, keys []Key, found map[Key]Row) error {
	out, err := r.table.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &r.tableName,
		Key:            keyItem(keys[0]),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return err
	}
	if out.Item == nil {
		return nil
	}
	return addRows(found, out.Item)
}

// batchGetItems reads several rows. The table service may leave some keys
// unprocessed, which are then requested again.
func (r *Remote) batchGetItems(ctx context.Context, keys []Key, found map[Key]Row) error {
	remaining := types.KeysAndAttributes{ConsistentRead: aws.Bool(true)}
	for _, key := range keys {
		remaining.Keys = append(remaining.Keys, keyItem(key))
	}
	for delay := 10 * time.Millisecond; len(remaining.Keys) > 0; delay = min(2*delay, maxRetryDelay) {
		out, err := r.table.BatchGetItem(ctx, &dynamodb.BatchGetItemInput{
			RequestItems: map[string]types.KeysAndAttributes{r.tableName: remaining},
		})
		if err != nil {
			return err
		}
		if err := addRows(found, out.Responses[r.tableName]...); err != nil {
			return err
		}
		remaining.Keys = out.UnprocessedKeys[r.tableName].Keys
		if len(remaining.Keys) > 0 {
			if err := sleep(ctx, delay); err != nil {
				return err
			}
		}
	}
	return nil
}

// Scan implements Table.
func (r *Remote) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	in := &dynamodb.QueryInput{
		TableName:                 &r.tableName,
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String(QueryAll),
		ExpressionAttributeNames:  map[string]string{"#partition": AttributePartition},
		ExpressionAttributeValues: map[string]types.AttributeValue{":partition": stringAttribute(Partition)},
	}
	if prefix != "" {
		in.KeyConditionExpression = aws.String(QueryPrefix)
		in.ExpressionAttributeNames["#key"] = AttributeKey
		in.ExpressionAttributeValues[":prefix"] = stringAttribute(string(prefix))
	}
	switch {
	case after == "" || after < prefix:
	case strings.HasPrefix(string(after), string(prefix)):
		in.ExclusiveStartKey = keyItem(after)
	default: // after is greater than every key with the prefix
		return nil, nil
	}
	rows, err := r.queryPages(ctx, in, limit)
	if err != nil {
		return nil, fmt.Errorf("scan rows: %w", err)
	}
	return rows, nil
}

// queryPages returns the rows from all pages of a Query, up to the limit. The
// table service limits a page to 1 MB.
func (r *Remote) queryPages(ctx context.Context, in *dynamodb.QueryInput, limit int) ([]Row, error) {
	var rows []Row
	for len(rows) < limit {
		// 1<<20 rows are more than fit into a page of 1 MB, and keep Limit within an
		// int32.
		in.Limit = aws.Int32(int32(min(limit-len(rows), 1<<20)))
		out, err := r.table.Query(ctx, in)
		if err != nil {
			return nil, err
		}
		for _, item := range out.Items {
			row, err := parseItem(item)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
		if len(out.LastEvaluatedKey) == 0 {
			break
		}
		in.ExclusiveStartKey = out.LastEvaluatedKey
	}
	return rows, nil
}

// Commit implements Table. SDK retries are disabled: if the first response was lost,
// the retried transaction would fail its own conditions and be reported as not
// applied.
func (r *Remote) Commit(ctx context.Context, writes ...Write) (Result, error) {
	if err := validateWrites(writes); err != nil {
		return Result{Outcome: NotApplied}, fmt.Errorf("commit: %w", err)
	}
	in := &dynamodb.TransactWriteItemsInput{}
	for _, w := range writes {
		in.TransactItems = append(in.TransactItems, r.transactItem(w))
	}
	// Nothing is sent before the transport has obtained a connection.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	_, err := r.table.TransactWriteItems(ctx, in, func(o *dynamodb.Options) { o.Retryer = aws.NopRetryer{} })
	if err == nil {
		return appliedResult(writes), nil
	}
	if result, ok := cancellationResult(err); ok {
		return result, nil
	}
	if !connected.Load() {
		return Result{Outcome: NotApplied}, fmt.Errorf("commit not sent: %w", err)
	}
	if isThrottled(err) {
		return Result{Outcome: NotApplied}, fmt.Errorf("commit throttled: %w", err)
	}
	return Result{Outcome: Unknown}, fmt.Errorf("commit: %w", err)
}

// cancellationResult returns the result of a transaction that the table service
// canceled. It returns false if neither a condition failed nor another transaction
// conflicted, for example if the table service throttled the request.
func cancellationResult(err error) (Result, bool) {
	var cancel *types.TransactionCanceledException
	if !errors.As(err, &cancel) {
		return Result{}, false
	}
	result, ok := Result{Outcome: NotApplied}, false
	for i, reason := range cancel.CancellationReasons {
		switch aws.ToString(reason.Code) {
		case "ConditionalCheckFailed":
			result.Failed, ok = append(result.Failed, i), true
		case "TransactionConflict":
			ok = true
		}
	}
	return result, ok
}

// isThrottled reports whether the table service throttled a transaction. Such a
// transaction was definitely not applied, so its outcome need not be read, which would
// add load to a table service that is already over its limit.
func isThrottled(err error) bool {
	var cancel *types.TransactionCanceledException
	if errors.As(err, &cancel) {
		return slices.ContainsFunc(cancel.CancellationReasons, func(r types.CancellationReason) bool {
			return throttlingCodes[aws.ToString(r.Code)]
		})
	}
	var apiError smithy.APIError
	return errors.As(err, &apiError) && throttlingCodes[apiError.ErrorCode()]
}

// throttlingCodes contains the error codes and cancellation reasons that indicate
// throttling.
var throttlingCodes = map[string]bool{
	"ThrottlingError":                        true,
	"ThrottlingException":                    true,
	"ProvisionedThroughputExceeded":          true,
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
}

// transactItem converts a write to an item of a TransactWriteItems request.
func (r *Remote) transactItem(w Write) types.TransactWriteItem {
	condition, names, values := aws.String(ConditionAbsent), map[string]string{"#key": AttributeKey}, map[string]types.AttributeValue(nil)
	if w.IfRevision != 0 {
		condition, names = aws.String(ConditionRevision), map[string]string{"#revision": AttributeRevision}
		values = map[string]types.AttributeValue{":revision": revisionAttribute(w.IfRevision)}
	}
	item := keyItem(w.Key)
	if w.Delete {
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: &r.tableName, Key: item, ConditionExpression: condition,
			ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}
	}
	// The SDK omits nil values, which DynamoDB rejects.
	item[AttributeValue] = &types.AttributeValueMemberB{Value: append([]byte{}, w.Value...)}
	item[AttributeRevision] = revisionAttribute(w.NextRevision())
	if w.Expires != 0 {
		item[AttributeExpires] = &types.AttributeValueMemberN{Value: strconv.FormatInt(int64(r.clockSkew.adjustExpiry(w.Expires)), 10)}
	}
	return types.TransactWriteItem{Put: &types.Put{
		TableName: &r.tableName, Item: item, ConditionExpression: condition,
		ExpressionAttributeNames: names, ExpressionAttributeValues: values,
	}}
}

func keyItem(key Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		AttributePartition: stringAttribute(Partition),
		AttributeKey:       stringAttribute(string(key)),
	}
}

func stringAttribute(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func revisionAttribute(r Revision) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(uint64(r), 10)}
}

// addRows parses items and adds them to found.
func addRows(found map[Key]Row, items ...map[string]types.AttributeValue) error {
	for _, item := range items {
		row, err := parseItem(item)
		if err != nil {
			return err
		}
		found[row.Key] = row
	}
	return nil
}

// parseItem converts an item of the table to a row.
func parseItem(item map[string]types.AttributeValue) (Row, error) {
	key, keyOK := item[AttributeKey].(*types.AttributeValueMemberS)
	value, valueOK := item[AttributeValue].(*types.AttributeValueMemberB)
	revision, revisionOK := item[AttributeRevision].(*types.AttributeValueMemberN)
	if !keyOK || !valueOK || !revisionOK {
		return Row{}, errors.New("item has no valid key, value or revision attribute")
	}
	n, err := strconv.ParseUint(revision.Value, 10, 64)
	if err != nil {
		return Row{}, fmt.Errorf("parse revision of row %s: %w", key.Value, err)
	}
	row := Row{Key: Key(key.Value), Value: value.Value, Revision: Revision(n)}
	if expires, ok := item[AttributeExpires].(*types.AttributeValueMemberN); ok {
		seconds, err := strconv.ParseInt(expires.Value, 10, 64)
		if err != nil {
			return Row{}, fmt.Errorf("parse expiry of row %s: %w", key.Value, err)
		}
		row.Expires = Expiry(seconds)
	}
	return row, nil
}

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}
