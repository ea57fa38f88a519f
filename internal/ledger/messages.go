package ledger

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Paths on a gateway's peer port, all by POST.
const (
	PathBegin   = "/shalefork/v1/ledger/begin"   // BeginRequest -> BeginResponse
	PathFinish  = "/shalefork/v1/ledger/finish"  // FinishRequest -> FinishResponse
	PathCopy    = "/shalefork/v1/ledger/copy"    // CopyRequest -> CopyResponse
	PathCollect = "/shalefork/v1/ledger/collect" // CollectRequest -> CollectLine lines
	PathVouch   = "/shalefork/v1/ledger/vouch"   // VouchRequest -> VouchResponse
	PathLeave   = "/shalefork/v1/ledger/leave"   // LeaveRequest -> LeaveResponse
)

// Grant names the grant of the ledger's slice under which an owner is asked.
type Grant struct {
	Slice  keyspace.Slice `json:"slice"`
	Fence  wire.Fence     `json:"fence"`
	Bundle bundle.Version `json:"bundle"`
}

// BeginRequest asks the owner whether a request may be sent.
type BeginRequest struct {
	Cell   bundle.CellName `json:"cell"`
	Grant  Grant           `json:"grant"`
	Key    Key             `json:"key"`
	Digest Digest          `json:"digest"`
	// Attempt names the request; the same one may ask again.
	Attempt wire.RequestID `json:"attempt"`
	// RunsFor is the longest that the request may take.
	RunsFor time.Duration `json:"runs_for"`
}

// BeginResponse is the owner's answer.
type BeginResponse struct {
	// Refused says why the owner did not look: its grant is another, or its
	// records are not complete. Empty if it did.
	Refused wire.Reason `json:"refused,omitempty"`
	Verdict Verdict     `json:"verdict,omitempty"`
	Stamp   Stamp       `json:"stamp"`
	Answer  *Answer     `json:"answer,omitempty"`
}

// FinishRequest tells the owner how a request ended. With neither Answer nor
// NotRun its outcome is unknown.
type FinishRequest struct {
	Cell   bundle.CellName `json:"cell"`
	Grant  Grant           `json:"grant"`
	Key    Key             `json:"key"`
	Stamp  Stamp           `json:"stamp"`
	Answer *Answer         `json:"answer,omitempty"`
	NotRun bool            `json:"not_run,omitempty"`
}

// FinishResponse says whether the end was recorded.
type FinishResponse struct {
	Refused wire.Reason `json:"refused,omitempty"`
}

// CopyRequest asks another gateway to hold a copy, or to drop one.
type CopyRequest struct {
	Cell   bundle.CellName `json:"cell"`
	Fence  wire.Fence      `json:"fence"`
	Record Record          `json:"record"`
	Remove bool            `json:"remove,omitempty"`
}

// CopyResponse says whether the copy is held.
type CopyResponse struct {
	Holder   Holder `json:"holder"`
	Accepted bool   `json:"accepted"`
}

// CollectRequest asks for all records of a range, and for the promise to take
// no more copies under fences below Fence.
type CollectRequest struct {
	Cell  bundle.CellName `json:"cell"`
	Range keyspace.Range  `json:"range"`
	Fence wire.Fence      `json:"fence"`
	// Gateways are those that the asker counts.
	Gateways []wire.TableServer `json:"gateways"`
}

// Tenure is the asker's own.
func (r CollectRequest) Tenure() Tenure {
	return Tenure{Range: r.Range, Fence: r.Fence, Gateways: r.Gateways}
}

// CollectLine is one line of the answer to a CollectRequest. The first holds
// who the gateway is and what it says of itself; then one line a record; the last has End
// set, without which the answer is cut short and counts for nothing.
type CollectLine struct {
	Holder *Holder    `json:"holder,omitempty"`
	Said   *Testimony `json:"said,omitempty"`
	Record *Record    `json:"record,omitempty"`
	End    bool       `json:"end,omitempty"`
}

// VouchRequest tells a gateway that it may vouch for a tenure. With Ask set it
// only asks who answers.
type VouchRequest struct {
	Cell bundle.CellName `json:"cell"`
	Tenure
	// Holder is the run of the gateway that may vouch; another refuses.
	Holder Holder `json:"holder"`
	Ask    bool   `json:"ask,omitempty"`
}

// VouchResponse says who answers, and whether it vouches now.
type VouchResponse struct {
	Holder   Holder `json:"holder"`
	Accepted bool   `json:"accepted,omitempty"`
}

// LeaveRequest says that a gateway stops by plan and takes no copies any more.
type LeaveRequest struct {
	Cell bundle.CellName `json:"cell"`
	// Holder is the run that leaves.
	Holder Holder `json:"holder"`
	// Relieved says that the owners of all slices keep nothing at it any more.
	// Until then it asks them for that.
	Relieved bool `json:"relieved,omitempty"`
}

// LeaveResponse says who heard it.
type LeaveResponse struct {
	Holder Holder `json:"holder"`
}
