package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start in seconds.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("can't write %s: %w", path, err)
	}
	return &record{
		file:  file,
		out:   bufio.NewWriter(file),
		start: time.Now(),
	}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush() // close reports a failure of the file
}

func (r *record) close() {
	if err := r.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
