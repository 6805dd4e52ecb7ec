package ownership

import "fmt"

// message is one message between Cores. decodeMessage is the inverse of encode.
type message interface{ encode() []byte }

// leaseRequest requests a new lease from the coordinator, and shows that the sender is alive.
type leaseRequest struct {
	sender       processID
	sequence     uint64
	eligible     bool   // the sender may be given jobs
	epoch        uint64 // of the last job list it has
	listSequence uint64 // of that list
}

// leaseGranted answers a leaseRequest once the voters have confirmed the coordinator.
type leaseGranted struct {
	sequence      uint64 // of the request
	incarnation   uint64 // of the requesting process
	epoch         uint64
	requestsOffer bool // the coordinator does not know the process's jobs
}

// leaderRedirect answers a leaseRequest at a voter that does not lead.
type leaderRedirect struct {
	leader uint32 // 0: unknown
}

// jobOffer says which jobs a process can own.
type jobOffer struct {
	sender processID
	jobs   []string
}

// jobList is all that a process is to own, from the coordinator.
type jobList struct {
	incarnation uint64 // of the process it is for
	epoch       uint64
	sequence    uint64 // rises within the epoch
	jobs        []listedJob
}

type listedJob struct {
	job              string
	token            uint64
	checkpointNumber uint64
	handover         bool // it is to be released for another process
	checkpoint       []byte
}

// jobReleased notifies the coordinator that a process has stopped a job; repeated until the job list no longer holds it.
type jobReleased struct {
	sender           processID
	eligible         bool
	job              string
	token            uint64
	higherToken      uint64 // that a receiver reported; 0: none
	checkpointNumber uint64
	checkpoint       []byte
	reason           string
}

// storeCheckpoint requests the coordinator to have a checkpoint replicated.
type storeCheckpoint struct {
	job              string
	token            uint64
	checkpointNumber uint64
	checkpoint       []byte
}

// checkpointResult answers storeCheckpoint.
type checkpointResult struct {
	job              string
	token            uint64
	checkpointNumber uint64
	stored           bool
}

// effectMessage is an owner's effect at a receiver.
type effectMessage struct {
	job   string
	token FencingToken
	body  []byte
}

// effectAck is the receiver's verdict.
type effectAck struct {
	job     string
	token   FencingToken
	verdict Verdict
	highest FencingToken // that the receiver has accepted
}

// moveRequest is an operator's wish to hand a job over.
type moveRequest struct {
	job, member string
	tag         uint64
}

// moveReply answers moveRequest.
type moveReply struct {
	tag     uint64
	refusal string // "": accepted
}

// queryMessage is for the owner of a job, by way of the coordinator.
type queryMessage struct {
	job       string
	tag       uint64
	requester uint32
	body      []byte
	encoded   []byte // as received: forwarded unchanged
}

// queryReply goes straight to the asker.
type queryReply struct {
	tag  uint64
	body []byte
}

func (m leaseRequest) encode() []byte {
	return kindLeaseRequest.newWriter().Text(m.sender.name).Uint(m.sender.incarnation).Uint(m.sequence).Bool(m.eligible).Uint(m.epoch).Uint(m.listSequence).Data
}

func (m leaseGranted) encode() []byte {
	return kindLeaseGranted.newWriter().Uint(m.sequence).Uint(m.incarnation).Uint(m.epoch).Bool(m.requestsOffer).Data
}

func (m leaderRedirect) encode() []byte {
	return kindLeaderRedirect.newWriter().Uint(uint64(m.leader)).Data
}

func (m jobOffer) encode() []byte {
	w := kindJobOffer.newWriter().Text(m.sender.name).Uint(m.sender.incarnation).Uint(uint64(len(m.jobs)))
	for _, job := range m.jobs {
		w.Text(job)
	}
	return w.Data
}

func (m jobList) encode() []byte {
	w := kindJobList.newWriter().Uint(m.incarnation).Uint(m.epoch).Uint(m.sequence).Uint(uint64(len(m.jobs)))
	for _, j := range m.jobs {
		w.Text(j.job).Uint(j.token).Uint(j.checkpointNumber).Bool(j.handover).Bytes(j.checkpoint)
	}
	return w.Data
}

func (m jobReleased) encode() []byte {
	w := kindJobReleased.newWriter().Text(m.sender.name).Uint(m.sender.incarnation).Bool(m.eligible)
	return w.Text(m.job).Uint(m.token).Uint(m.higherToken).Uint(m.checkpointNumber).Bytes(m.checkpoint).Text(m.reason).Data
}

func (m storeCheckpoint) encode() []byte {
	return kindStoreCheckpoint.newWriter().Text(m.job).Uint(m.token).Uint(m.checkpointNumber).Bytes(m.checkpoint).Data
}

func (m checkpointResult) encode() []byte {
	return kindCheckpointResult.newWriter().Text(m.job).Uint(m.token).Uint(m.checkpointNumber).Bool(m.stored).Data
}

func (m effectMessage) encode() []byte {
	return kindEffect.newWriter().Text(m.job).Uint(m.token.Token).Uint(m.token.Sequence).Bytes(m.body).Data
}

func (m effectAck) encode() []byte {
	w := kindEffectAck.newWriter().Text(m.job).Uint(m.token.Token).Uint(m.token.Sequence)
	return w.Uint(uint64(m.verdict)).Uint(m.highest.Token).Uint(m.highest.Sequence).Data
}

func (m moveRequest) encode() []byte {
	return kindMoveRequest.newWriter().Text(m.job).Text(m.member).Uint(m.tag).Data
}

func (m moveReply) encode() []byte {
	return kindMoveReply.newWriter().Uint(m.tag).Text(m.refusal).Data
}

func (m queryMessage) encode() []byte {
	return kindQuery.newWriter().Text(m.job).Uint(m.tag).Uint(uint64(m.requester)).Bytes(m.body).Data
}

func (m queryReply) encode() []byte {
	return kindQueryReply.newWriter().Uint(m.tag).Bytes(m.body).Data
}

// malformed names the message at fault.
func malformed(kind fmt.Stringer, cause error) error {
	return fmt.Errorf("%w: %v: %w", ErrMalformedMessage, kind, cause)
}
