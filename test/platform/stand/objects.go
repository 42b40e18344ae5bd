package stand

import (
	"context"
	"encoding/xml"
	"io"
	"net/http"
)

// maxObject is the largest object that the stand-in takes, in bytes. It is
// above the 4 MiB limit of a whole document.
const maxObjectBytes = 16 << 20

// objectError is the body of an S3 error response.
type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string   `xml:"Code"`
	Message string   `xml:"Message"`
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	p.applyFaults()
	if err != nil {
		writeObjectError(w, http.StatusBadRequest, "EntityTooLarge", err.Error())
		return
	}
	if !p.checkObjectRequest(w, r) {
		return
	}
	p.counters.objectWrites.Add(1)
	if err := p.memory.PutObject(context.WithoutCancel(r.Context()), r.PathValue("name"), data); err != nil {
		writeObjectError(w, http.StatusInternalServerError, "InternalError", err.Error())
	}
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.applyFaults()
	if !p.checkObjectRequest(w, r) {
		return
	}
	p.counters.objectReads.Add(1)
	data, err := p.memory.GetObject(r.Context(), r.PathValue("name"))
	if err != nil {
		writeObjectError(w, http.StatusNotFound, "NoSuchKey", "The specified key does not exist.")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

// checkObjectRequest refuses what the subset does not cover: unsigned requests,
// other buckets and streamed uploads, whose body is not the object itself.
func (p *Platform) checkObjectRequest(w http.ResponseWriter, r *http.Request) bool {
	switch {
	case !isSigned(r):
		writeObjectError(w, http.StatusForbidden, "AccessDenied", "Access Denied")
	case r.PathValue("bucket") != p.bucket:
		writeObjectError(w, http.StatusNotFound, "NoSuchBucket", "The specified bucket does not exist")
	case r.Header.Get("X-Amz-Decoded-Content-Length") != "":
		writeObjectError(w, http.StatusNotImplemented, "NotImplemented", "streamed uploads are not implemented")
	default:
		return true
	}
	return false
}

func writeObjectError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, xml.Header)
	_ = xml.NewEncoder(w).Encode(objectError{Code: code, Message: message})
}
