package controller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/wire"
)

// Paths between controllers.
const (
	// PathMessages takes consensus messages as JSON lines by POST. The answer
	// holds the messages that the receiver has for the sender at once, which
	// halves the number of requests.
	PathMessages = "/shalefork/v1/control/messages"
)

const (
	// outboxQueue bounds the messages that wait for one peer. The protocol
	// bears loss, so a message to a full queue is dropped.
	outboxQueue = 128
	// maxMessageBytes bounds one batch; a snapshot of a cell fits well.
	maxMessageBytes = wire.MaxLineBytes
)

// outbox sends messages to peers, each peer by a goroutine of its own, so that
// a slow one delays no other and never the loop. Only the loop calls send.
type outbox struct {
	controller *Controller
	ctx        context.Context
	cancel     context.CancelFunc
	peers      map[string]chan consensus.Message
	running    sync.WaitGroup
}

func newOutbox(ctx context.Context, controller *Controller) *outbox {
	ctx, cancel := context.WithCancel(ctx)
	return &outbox{
		controller: controller,
		ctx:        ctx,
		cancel:     cancel,
		peers:      map[string]chan consensus.Message{},
	}
}

// send queues a message, or drops it if the queue is full or the address of
// the receiver is not known.
func (o *outbox) send(address string, message consensus.Message) {
	if address == "" {
		o.controller.metrics.MessagesDropped.Inc()
		return
	}
	queue, ok := o.peers[address]
	if !ok {
		queue = o.open(address)
	}
	select {
	case queue <- message:
	default:
		o.controller.metrics.MessagesDropped.Inc()
	}
}

func (o *outbox) open(address string) chan consensus.Message {
	queue := make(chan consensus.Message, outboxQueue)
	o.peers[address] = queue
	o.running.Add(1)
	go func() {
		defer o.running.Done()
		o.deliver(address, queue)
	}()
	return queue
}

// keepOnly ends the goroutines of peers that are in no membership any more.
func (o *outbox) keepOnly(addresses map[string]bool) {
	for address, queue := range o.peers {
		if !addresses[address] {
			close(queue)
			delete(o.peers, address)
		}
	}
}

func (o *outbox) close() {
	o.cancel()
	o.running.Wait()
}

func (o *outbox) deliver(address string, queue chan consensus.Message) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case message, open := <-queue:
			if !open {
				return
			}
			o.deliverBatch(address, gather(message, queue))
		}
	}
}

// gather takes what else waits in the queue, so that one request carries all.
func gather(first consensus.Message, queue chan consensus.Message) []consensus.Message {
	batch := []consensus.Message{first}
	for len(batch) < outboxQueue {
		select {
		case message, open := <-queue:
			if !open {
				return batch
			}
			batch = append(batch, message)
		default:
			return batch
		}
	}
	return batch
}

// deliverBatch sends the messages, those of one envelope at a time. There is
// more than one only when this process or its peer has changed its incarnation.
func (o *outbox) deliverBatch(address string, batch []consensus.Message) {
	for len(batch) > 0 {
		var same []consensus.Message
		same, batch = sameEnvelope(batch)
		o.deliverSame(address, same)
	}
}

func (o *outbox) deliverSame(address string, batch []consensus.Message) {
	replies, err := o.controller.exchange(o.ctx, address, batch)
	if err != nil {
		o.controller.metrics.MessagesDropped.Add(float64(len(batch)))
		return
	}
	o.controller.metrics.MessagesSent.Add(float64(len(batch)))
	if len(replies) > 0 {
		o.controller.post(o.ctx, func(r *replica) { r.stepAll(replies) })
	}
}

// exchange sends messages of one envelope and returns those in the answer. Its
// time is bounded by the shortest election time: a later answer is of no use.
func (c *Controller) exchange(ctx context.Context, address string, batch []consensus.Message) ([]consensus.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, c.times.electionMin)
	defer cancel()
	shared := envelopeOf(batch[0])
	body, err := encodeBatch(shared, batch)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathMessages, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request.Header.Set("User-Agent", "")
	response, err := c.client.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, Error.New("peer answered %s", response.Status)
	}
	lines := wire.NewLineReader(io.LimitReader(response.Body, maxMessageBytes))
	return decodeLines(lines, shared.answered())
}

// serveMessages takes a batch from another controller.
func (c *Controller) serveMessages(writer http.ResponseWriter, request *http.Request) {
	shared, batch, err := decodeBatch(request.Body)
	if err != nil {
		http.Error(writer, "messages cannot be read", http.StatusBadRequest)
		return
	}
	var replies []consensus.Message
	taken := c.call(request.Context(), func(r *replica) { replies = r.answerBatch(shared, batch) })
	if !taken {
		http.Error(writer, "stopping", http.StatusServiceUnavailable)
		return
	}
	body, err := encodeLines(replies)
	if err != nil {
		http.Error(writer, "answer cannot be written", http.StatusInternalServerError)
		return
	}
	omitHeaders(writer)
	_, _ = writer.Write(body) // the sender is gone, and so is the answer
}

// omitHeaders leaves out the headers that a peer has no use for, so that small
// frequent answers stay small.
func omitHeaders(writer http.ResponseWriter) {
	writer.Header()["Date"] = nil
	writer.Header()["Content-Type"] = nil
}

// answerBatch takes a batch in and returns the messages for its sender.
func (r *replica) answerBatch(shared envelope, batch []consensus.Message) []consensus.Message {
	r.replyTo = shared.answered()
	r.stepAll(batch)
	r.pump()
	replies := r.replies
	r.replies = nil
	r.replyTo = envelope{}
	return replies
}

// stepAll gives messages to the node. Those for another generation or another
// incarnation never reach it. A message to a process that has no node yet
// shows that it may have been named a member, so the record is read at once.
func (r *replica) stepAll(messages []consensus.Message) {
	for _, message := range messages {
		r.metrics.MessagesReceived.Inc()
		if message.To != r.self() || message.Cell != string(r.settings.Cell) {
			continue
		}
		if r.node == nil {
			r.poke(r.pollNow)
			continue
		}
		if message.Generation == r.generation {
			r.node.Step(r.clock.Now(), message)
		}
	}
}
