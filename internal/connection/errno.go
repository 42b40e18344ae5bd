package connection

import "syscall"

// Errors of accept that pass by themselves.
var (
	errTooManyFiles error = syscall.EMFILE
	errConnAborted  error = syscall.ECONNABORTED
)
