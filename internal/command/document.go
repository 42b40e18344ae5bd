package command

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// DocumentVersion is the document of a version.
type DocumentVersion struct {
	Number   uint64
	Document document.Document
}

// FetchDocument reads a version; number zero reads the current one.
func FetchDocument(ctx context.Context, c api.Invoker, number uint64) (DocumentVersion, error) {
	var d *api.Document
	var err error
	if number == 0 {
		d, err = c.GetDocument(ctx)
	} else {
		d, err = c.GetVersion(ctx, api.GetVersionParams{Number: number})
	}
	if err != nil {
		return DocumentVersion{}, ErrorFromAPI(err)
	}
	doc, err := operator.DocumentFromAPI(d.Sections)
	return DocumentVersion{Number: d.Version, Document: doc}, err
}

// ReadDocument parses a file. It prints faults, one in a line.
func ReadDocument(s Streams, file string) (document.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return document.Document{}, UsageError("%v", err)
	}
	d, err := document.Parse(file, data)
	var faults document.Faults
	if errors.As(err, &faults) {
		fmt.Fprintln(s.Err, faults.Error())
		return d, Error{Code: ExitRefused, Text: fmt.Sprintf("%s has %d faults", file, len(faults)), Hint: "correct them; peridotlb document check " + file + " needs no daemon"}
	}
	return d, err
}
