package mesh

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// processTimeout limits the time until a process must serve, and until a killed
// process must have ended.
const processTimeout = 20 * time.Second

// Process is a process that the mesh started.
type Process struct {
	Name string
	Log  string // file with the standard output and standard error
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// startProcess starts a program and waits until it has reported that it listens.
func (m *Mesh) startProcess(ctx context.Context, name, program string, args ...string) (*Process, error) {
	return m.startProcessWithEnv(ctx, nil, name, program, args...)
}

// startProcessWithEnv is startProcess with additional environment variables.
func (m *Mesh) startProcessWithEnv(ctx context.Context, env []string, name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, Log: m.filePath(name + ".log"), done: make(chan struct{})}
	file, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer file.Close()
	offset, err := file.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, fmt.Errorf("seek in log: %w", err)
	}
	p.cmd = exec.CommandContext(ctx, filepath.Join(m.BinDir, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	p.cmd.Env = append(os.Environ(), env...)
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	if err := p.waitForStart(ctx, offset); err != nil {
		_ = p.cmd.Process.Kill()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	return p, nil
}

// waitForStart waits for a log line that reports that the program serves. The
// search starts at the given offset in the log.
func (p *Process) waitForStart(ctx context.Context, offset int64) error {
	deadline := time.Now().Add(processTimeout)
	for time.Now().Before(deadline) {
		text := p.logSince(offset)
		// The platform and the backend servers print "listening on <address>", the daemon
		// logs "Started.", and the relay prints "control <address>".
		if strings.Contains(text, "istening on") || strings.Contains(text, "Started.") || strings.HasPrefix(text, "control ") {
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("process ended before it was ready: %w: %s", p.err, text)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("not ready within %v: %s", processTimeout, p.logSince(offset))
}

func (p *Process) logSince(offset int64) string {
	file, err := os.Open(p.Log)
	if err != nil {
		return ""
	}
	defer file.Close()
	if _, err := file.Seek(offset, io.SeekStart); err != nil {
		return ""
	}
	text, _ := io.ReadAll(bufio.NewReader(file))
	return string(text)
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() error { return p.signalAndWait(syscall.SIGKILL, processTimeout) }

// KillAll kills the processes in parallel. Nil entries are ignored.
func KillAll(processes ...*Process) error {
	var group errgroup.Group
	for _, p := range processes {
		if p != nil {
			group.Go(p.Kill)
		}
	}
	return group.Wait()
}

// Stop asks the process to terminate gracefully and waits. After the timeout, it
// kills the process and returns an error.
func (p *Process) Stop(timeout time.Duration) error { return p.signalAndWait(syscall.SIGTERM, timeout) }

// Freeze suspends the process until Resume is called.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

func (p *Process) signalAndWait(s os.Signal, timeout time.Duration) error {
	if !p.Running() {
		return nil
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("send signal to %s: %w", p.Name, err)
	}
	select {
	case <-p.done:
		return nil
	case <-time.After(timeout):
		_ = p.cmd.Process.Kill()
		<-p.done
		return fmt.Errorf("%s did not end within %v", p.Name, timeout)
	}
}

// Close kills all processes, and removes the directory of the mesh unless the logs
// are kept.
func (m *Mesh) Close() error {
	var all []*Process
	for _, h := range m.Hosts {
		all = append(all, h.Server, h.Daemon)
	}
	all = append(all, m.foreignDaemons...)
	all = append(all, m.Relay, m.Platform)
	_ = m.portLock.Close() // Close may be called again after a failed Start
	errs := []error{KillAll(all...)}
	if !m.KeepLogs {
		errs = append(errs, os.RemoveAll(m.Dir))
	}
	return errors.Join(errs...)
}
