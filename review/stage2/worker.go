//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// runWorker serves requests as a sound worker: it runs a limited number at a time, keeps some more in a queue,
// and rejects the others. Its arguments are its address, ID, number of slots and work time. It prints a line
// for each request that it begins to run.
func runWorker(arguments []string) {
	address, id := arguments[0], arguments[1]
	slots, _ := strconv.Atoi(arguments[2])
	workTime, _ := time.ParseDuration(arguments[3])
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	w := &worker{id: id, workTime: workTime, running: make(chan struct{}, slots), admitted: make(chan struct{}, slots+queueLength)}
	_ = http.Serve(listener, w)
}

// queueLength is how many requests a worker keeps beside those that it runs.
const queueLength = 8

type worker struct {
	id       string
	workTime time.Duration
	// admitted holds a value for each request that runs or waits, and running one for each that runs.
	admitted, running chan struct{}
	output            sync.Mutex
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set("Shalefork-Instance-Id", w.id)
	id := request.Header.Get("Shalefork-Attempt-Id")
	if id == "" {
		reject(writer, http.StatusBadRequest)
		return
	}
	header.Set("Shalefork-Attempt-Id", id)
	if target := request.Header.Get("Shalefork-Target-Instance"); target != "" && target != w.id {
		reject(writer, http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	select {
	case w.admitted <- struct{}{}:
	default:
		reject(writer, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.admitted }()
	w.running <- struct{}{}
	defer func() { <-w.running }()
	w.output.Lock()
	fmt.Printf("%d %s %s %s\n", time.Now().UnixMilli(), id, w.id, request.URL.Path)
	w.output.Unlock()
	time.Sleep(w.workTime)
	header.Set("Shalefork-Response-Signature", w.id)
	_, _ = io.WriteString(writer, request.URL.Path)
}

// reject answers that the request was not run.
func reject(writer http.ResponseWriter, status int) {
	writer.Header().Set("Shalefork-Not-Executed", "1")
	writer.WriteHeader(status)
}
