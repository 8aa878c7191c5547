package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	exportParts    = 40
	exportInterval = 50 * time.Millisecond
	cutTime        = 3 * time.Second // for_s, 5 s by default
)

// serveExports is an engine's process: it answers with a list whose lines it makes one by one. The answer has
// no length and ends with its connection.
func serveExports(address, id string) int {
	err := http.ListenAndServe(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Instance-Id", id)
		request := r.Header.Get("X-Request-Id")
		switch target := r.Header.Get("X-Target-Instance"); {
		case request == "":
			return // a health check
		case target != "" && target != id:
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		fmt.Printf("%s runs %s\n", id, request)
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer closeConn(conn)
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Type: text/csv\r\nConnection: close\r\nX-Request-Id: %s\r\nX-Response-Signature: signed.%s\r\n\r\n", request, request)
		for n := range exportParts {
			_, _ = fmt.Fprintf(buffer, "line %d of %d\n", n+1, exportParts) // flush returns its error
			if buffer.Flush() != nil {
				return
			}
			time.Sleep(exportInterval)
		}
	}))
	fmt.Fprintln(os.Stderr, err)
	return couldNot
}

// engineProcess starts an engine of this program as a process of its own.
func engineProcess(address, id string) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(self, "engine", address, id)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	return command, command.Start()
}

// link forwards connections from one address to another until it is cut. A cut holds all bytes and ends back.
type link struct {
	to  string
	mu  sync.Mutex
	cut chan struct{} // closed while the link is whole
}

func newLink(from, to string) (*link, error) {
	listener, err := net.Listen("tcp", from)
	if err != nil {
		return nil, err
	}
	l := &link{
		to: to,
	}
	l.heal()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l, nil
}

func (l *link) sever() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == nil {
		l.cut = make(chan struct{})
	}
	close(l.cut)
}

// await waits until the link is whole.
func (l *link) await() {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	<-cut
}

func (l *link) forward(from net.Conn) {
	l.await()
	to, err := net.Dial("tcp", l.to)
	if err != nil {
		if tcp, ok := from.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // as a port without a listener
		}
		_ = from.Close() // refused
		return
	}
	go l.copy(to, from)
	l.copy(from, to)
}

// copy forwards one direction, with its end.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		l.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close() // the other side has gone
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite() // the end
				return
			}
			_ = to.Close() // a reset
			return
		}
	}
}

// rebornEngine cuts an engine off in the middle of answers that end with their connections. Behind the cut it
// crashes and starts again. The rule is MIXED: an answer that ends early must not look complete.
func rebornEngine(d *deployment, trouble bool) (bool, error) {
	listed, real := d.subnet+".101:8080", d.subnet+".151:8080"
	network, err := newLink(listed, real)
	if err != nil {
		return false, err
	}
	first, err := engineProcess(real, "i-first")
	if err != nil {
		return false, err
	}
	defer func() { _ = first.Process.Kill() }() // it may have ended
	var isFirstGone atomic.Bool
	d.register("i-first", "exports", listed, 6, func() string {
		if isFirstGone.Load() {
			return ""
		}
		return "ready"
	})
	d.store.put("op/config", configuration(3, []any{plainRoute("r-export", shortHost, "/exports/", "non_idempotent", "exports", 10000, 1)},
		[]any{plainService("exports")}, keptKey))
	if err := d.addEntries(2); err != nil {
		return false, err
	}
	if err := d.startEntries(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // stableWindowMs
	answers := make([]string, 4)
	var all sync.WaitGroup
	looksWhole := atomic.Int64{}
	for i := range answers {
		all.Add(1)
		go func() {
			defer all.Done()
			lines, status, err := readExport(d.entries[i%len(d.entries)], "export-"+strconv.Itoa(i+1))
			verdict := "whole"
			switch {
			case err != nil || status != http.StatusOK:
				verdict = "failed or broken off"
			case lines < exportParts:
				verdict = "NOT WHOLE, BUT LOOKS COMPLETE"
				looksWhole.Add(1)
			}
			answers[i] = fmt.Sprintf("export-%d: status %d, %d of %d lines, end: %v: %s", i+1, status, lines, exportParts, err, verdict)
		}()
	}
	time.Sleep(time.Second)
	if trouble {
		network.sever()
		d.record.line("the engine i-first is cut off from the entries")
		time.Sleep(300 * time.Millisecond)
		_ = first.Process.Kill() // the crash behind the cut
		_ = first.Wait()         // it was killed
		d.record.line("i-first crashes behind the cut")
		time.Sleep(time.Second)
		second, err := engineProcess(real, "i-second")
		if err != nil {
			return false, err
		}
		defer func() {
			_ = second.Process.Kill() // it may have ended
			_ = second.Wait()         // it was killed
		}()
		d.record.line("it starts again as i-second")
		time.Sleep(cutTime - 1300*time.Millisecond)
		network.heal()
		d.record.line("the cut heals")
		isFirstGone.Store(true)
		d.register("i-second", "exports", listed, 6, func() string { return "ready" })
	}
	all.Wait()
	for _, answer := range answers {
		d.record.line("%s", answer)
	}
	return looksWhole.Load() > 0, nil
}

// readExport sends a request and returns the number of lines of the answer and how it ended.
func readExport(e *entry, id string) (lines, status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+e.front()+"/exports/2f", strings.NewReader("all tanks"))
	if err != nil {
		return 0, 0, err
	}
	request.Host = shortHost
	request.Header.Set("Authorization", "Bearer "+keptKey)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "10000")
	response, err := newClient().Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return strings.Count(string(body), "\n"), response.StatusCode, err
}
