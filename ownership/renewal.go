package ownership

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/wire"
)

// maxRenewalBytes bounds a renewal's body.
const maxRenewalBytes = wire.MaxLineBytes

// serveRenewal answers a leader.
func (o *Owner) serveRenewal(writer http.ResponseWriter, httpRequest *http.Request) {
	if httpRequest.Method != http.MethodPost {
		http.Error(writer, "renewals are sent by POST", http.StatusMethodNotAllowed)
		return
	}
	var request wire.RenewRequest
	body := http.MaxBytesReader(writer, httpRequest.Body, maxRenewalBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		http.Error(writer, "renewal: "+err.Error(), http.StatusBadRequest)
		return
	}
	response := o.renew(request)
	o.options.Metrics.Renewals.WithLabelValues(string(response.Refused)).Inc()
	omitCommonHeaders(writer.Header())
	if json.NewEncoder(writer).Encode(response) == nil && response.Draining {
		o.noteDrainTold()
	}
}

// omitCommonHeaders keeps net/http from adding headers that no controller reads:
// a leader's budget of bytes bounds the servers that it can lead.
func omitCommonHeaders(header http.Header) {
	header["Date"] = nil
	header["Content-Type"] = nil
}

func (o *Owner) renew(request wire.RenewRequest) wire.RenewResponse {
	queued := o.options.Queued()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	response := o.holder.Renew(now, request)
	response.Load = o.load.reportTo(now.Upper, reader{generation: request.Generation, term: request.Term})
	response.Load.Queued = queued
	response.Load.InFlight = max(0, o.holder.InFlight()-queued)
	o.cancelVoid()
	o.wake()
	return response
}

// cancelVoid cancels what may keep no effect any more, and sees to it that this
// is done again when the set ends. Called with the lock held.
func (o *Owner) cancelVoid() {
	now := o.now()
	for _, ticket := range o.holder.Void(now) {
		request := o.running[ticket.ID]
		if request.ctx.Err() == nil {
			o.options.Metrics.Cancelled.Inc()
		}
		reason := o.holder.Check(now, ticket)
		request.cancel(&LostError{Reason: Reason(reason)})
	}
	end, held := o.holder.Expiry(now)
	if held {
		o.schedule(end - now.Upper)
	}
}

// schedule sets the timer. A timer that fires early, because the clock that is
// believed differs from the timer's, sets itself again.
func (o *Owner) schedule(after time.Duration) {
	if o.expiry != nil {
		o.expiry.Reset(after)
		return
	}
	o.expiry = time.AfterFunc(after, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.cancelVoid()
		o.wake()
	})
}
