package connection

import "syscall"

// Temporary errors of accept.
var (
	errTooManyFiles error = syscall.EMFILE
	errConnAborted  error = syscall.ECONNABORTED
)
