package controller

import (
	"encoding/json"
	"net/http"

	"github.com/shalefork/shalefork/internal/adminapi"
)

// serveStatus answers with this process's view if it leads, and else passes the
// question on towards the leader, whose view holds the servers as well. With no
// leader in reach it answers with what it knows.
func (c *Controller) serveStatus(writer http.ResponseWriter, request *http.Request) {
	if c.view.Load().leading || !c.forwardStatus(writer, request) {
		writeJSON(writer, http.StatusOK, c.status())
	}
}

func (c *Controller) status() adminapi.Status {
	current := c.view.Load()
	return adminapi.Status{
		Cell:            c.settings.Cell,
		Generation:      current.generation,
		Group:           current.status,
		State:           current.state,
		Servers:         current.serverView,
		CheckpointIndex: current.checkpoint,
		Counters:        c.counters(),
	}
}

// forwardStatus reports whether another controller's answer was passed back, be
// it in vain.
func (c *Controller) forwardStatus(writer http.ResponseWriter, request *http.Request) bool {
	address, hops := c.leaderAddress(), request.Header[headerForwarded]
	if address == "" || len(hops) >= maxForwards {
		return false
	}
	var body json.RawMessage
	err := c.getJSON(request.Context(), jsonCall{
		url:      "http://" + address + adminapi.PathStatus,
		answer:   &body,
		limit:    maxMessageBytes,
		deadline: forwardTimeout,
		header:   c.forwardHeader(hops),
	})
	if err != nil {
		return false
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body) // a failure is the reader's loss: the answer has begun
	return true
}

// counters returns the process's counters and gauges, ordered by name.
func (c *Controller) counters() []adminapi.Counter {
	counters := []adminapi.Counter{}
	if c.gatherer == nil {
		return counters
	}
	families, err := c.gatherer.Gather()
	if err != nil {
		return counters
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if len(metric.GetLabel()) == 0 && metric.GetCounter() != nil {
				counters = append(counters, adminapi.Counter{
					Name:  family.GetName(),
					Value: uint64(metric.GetCounter().GetValue()),
				})
			}
		}
	}
	return counters
}
