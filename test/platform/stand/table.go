package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/peridotlb/peridotlb/internal/platform"
)

// Limits of the protocol that a client can run into, in bytes.
const (
	maxRequestBytes = 16 << 20
	maxItemBytes    = 400 << 10
	maxPageBytes    = 1 << 20 // size at which a page of a Query ends
)

// attributeValue is a typed attribute value of the protocol.
type attributeValue struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

type item map[string]attributeValue

type expressionAttributes struct {
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues item
}

type getItemInput struct {
	TableName      string
	Key            item
	ConsistentRead bool
}

type getItemOutput struct {
	Item item `json:",omitempty"`
}

type keysAndAttributes struct {
	Keys           []item
	ConsistentRead bool
}

type batchGetItemInput struct {
	RequestItems map[string]keysAndAttributes
}

type batchGetItemOutput struct {
	Responses       map[string][]item
	UnprocessedKeys map[string]keysAndAttributes
}

type queryInput struct {
	expressionAttributes
	TableName              string
	ConsistentRead         bool
	KeyConditionExpression string
	ExclusiveStartKey      item
	Limit                  int
}

type queryOutput struct {
	Items            []item
	Count            int
	ScannedCount     int
	LastEvaluatedKey item `json:",omitempty"`
}

type conditionalWrite struct {
	expressionAttributes
	TableName           string
	ConditionExpression string
	Item                item // of a Put
	Key                 item // of a Delete
}

type transactWriteItemsInput struct {
	ClientRequestToken string
	TransactItems      []struct {
		Put    *conditionalWrite
		Delete *conditionalWrite
	}
}

type cancellationReason struct {
	Code    string
	Message string `json:",omitempty"`
}

// tableError is an error response of the DynamoDB protocol.
type tableError struct {
	Type    string               `json:"__type"`
	Message string               `json:"message"`
	Reasons []cancellationReason `json:"CancellationReasons,omitempty"`
}

func (e *tableError) Error() string { return e.Type + ": " + e.Message }

func newTableError(code, format string, args ...any) *tableError {
	return &tableError{Type: "com.amazonaws.dynamodb.v20120810#" + code, Message: fmt.Sprintf(format, args...)}
}

func validationError(format string, args ...any) *tableError {
	return newTableError("ValidationException", format, args...)
}

func (p *Platform) serveTable(w http.ResponseWriter, r *http.Request) {
	body := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	operation := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), "DynamoDB_20120810.")
	// A received request runs to its end even if the client disconnects.
	response, err := p.runOperation(context.WithoutCancel(r.Context()), isSigned(r), operation, body)
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	if err != nil {
		tableErr := newTableError("InternalServerError", "%v", err)
		status := http.StatusInternalServerError
		if errors.As(err, &tableErr) {
			status = http.StatusBadRequest
		}
		w.WriteHeader(status)
		response = tableErr
	}
	_ = json.NewEncoder(w).Encode(response)
}

func (p *Platform) runOperation(ctx context.Context, signed bool, operation string, body *json.Decoder) (any, error) {
	var run func(context.Context) (any, error)
	var err error
	switch operation {
	case "GetItem":
		run, err = decodeInput(body, p.getItem)
	case "BatchGetItem":
		run, err = decodeInput(body, p.batchGetItem)
	case "Query":
		run, err = decodeInput(body, p.query)
	case "TransactWriteItems":
		run, err = decodeInput(body, p.transactWriteItems)
	default:
		err = newTableError("UnknownOperationException", "operation %q is not implemented", operation)
	}
	p.applyFaults()
	if !signed {
		return nil, newTableError("MissingAuthenticationTokenException", "Request is missing Authentication Token")
	}
	if err != nil {
		return nil, err
	}
	return run(ctx)
}

// decodeInput reads the whole request body before any fault is applied, so that
// faults affect only complete requests.
func decodeInput[T any](body *json.Decoder, run func(context.Context, T) (any, error)) (func(context.Context) (any, error), error) {
	var in T
	body.DisallowUnknownFields()
	if err := body.Decode(&in); err != nil {
		return nil, newTableError("SerializationException", "%v", err)
	}
	return func(ctx context.Context) (any, error) { return run(ctx, in) }, nil
}

func (p *Platform) getItem(ctx context.Context, in getItemInput) (any, error) {
	rows, err := p.getRows(ctx, in.TableName, in.ConsistentRead, in.Key)
	if err != nil {
		return nil, err
	}
	out := getItemOutput{}
	if rows[0].Revision != 0 {
		out.Item = newItem(rows[0])
	}
	return out, nil
}

func (p *Platform) batchGetItem(ctx context.Context, in batchGetItemInput) (any, error) {
	out := batchGetItemOutput{Responses: map[string][]item{}, UnprocessedKeys: map[string]keysAndAttributes{}}
	for table, wanted := range in.RequestItems {
		// Leave half of a batch of more than 50 keys unprocessed, as the real service
		// may do, to test that clients request the rest.
		if n := len(wanted.Keys); n > 50 {
			out.UnprocessedKeys[table] = keysAndAttributes{Keys: wanted.Keys[n/2:], ConsistentRead: wanted.ConsistentRead}
			wanted.Keys = wanted.Keys[:n/2]
		}
		rows, err := p.getRows(ctx, table, wanted.ConsistentRead, wanted.Keys...)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if row.Revision != 0 {
				out.Responses[table] = append(out.Responses[table], newItem(row))
			}
		}
	}
	return out, nil
}

func (p *Platform) getRows(ctx context.Context, table string, consistent bool, wanted ...item) ([]platform.Row, error) {
	if err := p.checkTable(table); err != nil {
		return nil, err
	}
	if !consistent {
		return nil, validationError("only consistent reads are implemented")
	}
	var names []platform.Key
	seen := map[platform.Key]bool{}
	for _, k := range wanted {
		name, err := itemKey(k)
		if err != nil {
			return nil, err
		}
		if seen[name] {
			return nil, validationError("Provided list of item keys contains duplicates")
		}
		seen[name] = true
		names = append(names, name)
	}
	if len(names) == 0 || len(names) > 100 {
		return nil, validationError("%d keys, want 1 to 100", len(names))
	}
	if err := p.consumeCapacity(false, len(names)); err != nil {
		return nil, err
	}
	return p.memory.Get(ctx, names...)
}

func (p *Platform) query(ctx context.Context, in queryInput) (any, error) {
	prefix, err := p.checkQuery(in)
	if err != nil {
		return nil, err
	}
	var after platform.Key
	if in.ExclusiveStartKey != nil {
		if after, err = itemKey(in.ExclusiveStartKey); err != nil {
			return nil, err
		}
		if !strings.HasPrefix(string(after), prefix) {
			return nil, validationError("The provided starting key is outside query boundaries based on provided conditions")
		}
	}
	if in.Limit <= 0 {
		return nil, validationError("Limit must be at least 1")
	}
	rows, err := p.memory.Scan(ctx, platform.Key(prefix), after, in.Limit)
	if err != nil {
		return nil, err
	}
	out := newQueryPage(rows, in.Limit)
	if err := p.consumeCapacity(false, max(1, out.Count)); err != nil {
		return nil, err
	}
	return out, nil
}

// newQueryPage returns a page that ends at the limit or at maxPageBytes. If it ends
// there, LastEvaluatedKey tells where the next page starts.
func newQueryPage(rows []platform.Row, limit int) queryOutput {
	out, size := queryOutput{Items: []item{}}, 0
	for _, row := range rows {
		out.Items = append(out.Items, newItem(row))
		size += len(row.Key) + len(row.Value)
		if len(out.Items) == limit || size >= maxPageBytes {
			out.LastEvaluatedKey = newKeyItem(row.Key)
			break
		}
	}
	out.Count, out.ScannedCount = len(out.Items), len(out.Items)
	return out
}

func (p *Platform) checkQuery(in queryInput) (prefix string, err error) {
	if err := p.checkTable(in.TableName); err != nil {
		return "", err
	}
	if !in.ConsistentRead || in.ExpressionAttributeNames["#partition"] != platform.AttributePartition ||
		in.stringValue(":partition") != platform.Partition {
		return "", validationError("only consistent queries of the partition %q are implemented", platform.Partition)
	}
	switch in.KeyConditionExpression {
	case platform.QueryAll:
		return "", nil
	case platform.QueryPrefix:
		if in.ExpressionAttributeNames["#key"] == platform.AttributeKey && in.stringValue(":prefix") != "" {
			return in.stringValue(":prefix"), nil
		}
	}
	return "", validationError("key condition %q is not implemented", in.KeyConditionExpression)
}

func (p *Platform) transactWriteItems(ctx context.Context, in transactWriteItemsInput) (any, error) {
	writes := make([]platform.Write, 0, len(in.TransactItems))
	for _, t := range in.TransactItems {
		write, err := p.newWrite(t.Put, t.Delete)
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	if err := p.consumeCapacity(true, len(writes)); err != nil {
		return nil, err
	}
	result, err := p.memory.Commit(ctx, writes...)
	if err != nil {
		return nil, validationError("%v", err)
	}
	if p.faults.loseResponse() {
		p.counters.lostResponses.Add(1)
		dropConnection()
	}
	if result.Outcome != platform.Applied {
		return nil, newCancellationError(len(writes), result.Failed)
	}
	return struct{}{}, nil
}

func newCancellationError(writes int, failed []int) *tableError {
	tableErr := newTableError("TransactionCanceledException", "Transaction cancelled, please refer cancellation reasons for specific reasons")
	tableErr.Reasons = make([]cancellationReason, writes)
	for i := range tableErr.Reasons {
		tableErr.Reasons[i].Code = "None"
	}
	for _, i := range failed {
		tableErr.Reasons[i] = cancellationReason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
	}
	return tableErr
}

func (p *Platform) newWrite(put, del *conditionalWrite) (platform.Write, error) {
	if (put == nil) == (del == nil) {
		return platform.Write{}, validationError("only Put and Delete are implemented")
	}
	w := put
	if del != nil {
		w = &conditionalWrite{expressionAttributes: del.expressionAttributes, TableName: del.TableName, ConditionExpression: del.ConditionExpression, Item: del.Key}
	}
	if err := p.checkTable(w.TableName); err != nil {
		return platform.Write{}, err
	}
	key, err := itemKey(w.Item)
	if err != nil {
		return platform.Write{}, err
	}
	revision, err := w.requiredRevision()
	if err != nil || del != nil {
		return platform.Write{Key: key, IfRevision: revision, Delete: true}, err
	}
	write := platform.Write{Key: key, IfRevision: revision}
	return write, w.readItem(&write)
}

// readItem copies the attributes of the item of a Put into the write. Revisions and
// expiry times in Unix seconds must be positive numbers.
func (w *conditionalWrite) readItem(write *platform.Write) error {
	value, next := w.Item[platform.AttributeValue].B, w.Item[platform.AttributeRevision].N
	if value == nil || next == nil {
		return validationError("item has no binary value or no revision")
	}
	n, err := strconv.ParseUint(*next, 10, 64)
	if err != nil {
		return validationError("revision %q is not a number", *next)
	}
	if write.IfRevision == 0 {
		write.InitialRevision = platform.Revision(n)
	}
	if write.NextRevision() != platform.Revision(n) {
		return validationError("item must have revision %d", write.NextRevision())
	}
	// 30 bytes cover the names of the attributes other than the expiry time.
	size := len(write.Key) + len(*value) + len(*next) + len(platform.Partition) + 30
	if expires := w.Item[platform.AttributeExpires].N; expires != nil {
		seconds, err := strconv.ParseInt(*expires, 10, 64)
		if err != nil || seconds <= 0 {
			return validationError("expiry %q is not a number of seconds", *expires)
		}
		write.Expires = platform.Expiry(seconds)
		size += len(platform.AttributeExpires) + len(*expires)
	}
	if size > maxItemBytes {
		return validationError("Item size has exceeded the maximum allowed size")
	}
	write.Value = *value
	return nil
}

// requiredRevision returns the revision that the condition requires, or 0 if it
// requires that the row is absent.
func (w *conditionalWrite) requiredRevision() (platform.Revision, error) {
	switch w.ConditionExpression {
	case platform.ConditionAbsent:
		if w.ExpressionAttributeNames["#key"] == platform.AttributeKey {
			return 0, nil
		}
	case platform.ConditionRevision:
		value := w.ExpressionAttributeValues[":revision"].N
		if w.ExpressionAttributeNames["#revision"] == platform.AttributeRevision && value != nil {
			n, err := strconv.ParseUint(*value, 10, 64)
			if err == nil && n > 0 {
				return platform.Revision(n), nil
			}
		}
	}
	return 0, validationError("condition %q is not implemented", w.ConditionExpression)
}

func (p *Platform) checkTable(name string) error {
	if name != p.table {
		return newTableError("ResourceNotFoundException", "Requested resource not found")
	}
	return nil
}

// consumeCapacity counts the rows of a request, or returns a throttling error if
// the rate limit is exceeded.
func (p *Platform) consumeCapacity(write bool, rows int) error {
	if !p.faults.allow(write, rows) {
		p.counters.throttled.Add(1)
		return newTableError("ProvisionedThroughputExceededException", "The level of configured provisioned throughput for the table was exceeded")
	}
	if write {
		p.counters.writes.Add(uint64(rows))
		p.counters.writeRequests.Add(1)
	} else {
		p.counters.reads.Add(uint64(rows))
		p.counters.readRequests.Add(1)
	}
	return nil
}

func (e expressionAttributes) stringValue(name string) string {
	if s := e.ExpressionAttributeValues[name].S; s != nil {
		return *s
	}
	return ""
}

func itemKey(i item) (platform.Key, error) {
	partition, key := i[platform.AttributePartition].S, i[platform.AttributeKey].S
	if partition == nil || key == nil || *partition != platform.Partition || *key == "" {
		return "", validationError("The provided key element does not match the schema")
	}
	return platform.Key(*key), nil
}

func newKeyItem(key platform.Key) item {
	partition, name := platform.Partition, string(key)
	return item{platform.AttributePartition: {S: &partition}, platform.AttributeKey: {S: &name}}
}

func newItem(row platform.Row) item {
	i, revision, value := newKeyItem(row.Key), strconv.FormatUint(uint64(row.Revision), 10), row.Value
	if value == nil {
		value = []byte{}
	}
	i[platform.AttributeRevision], i[platform.AttributeValue] = attributeValue{N: &revision}, attributeValue{B: &value}
	if row.Expires != 0 {
		expires := strconv.FormatInt(int64(row.Expires), 10)
		i[platform.AttributeExpires] = attributeValue{N: &expires}
	}
	return i
}
