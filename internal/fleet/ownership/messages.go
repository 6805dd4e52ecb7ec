package ownership

import "fmt"

// message is a message between Cores. decodeMessage is the inverse of encode.
type message interface{ encode() []byte }

// leaseRequest asks the coordinator for a new lease, and shows that the sender is alive.
type leaseRequest struct {
	sender       processID
	sequence     uint64 // rises with each request of the sender
	eligible     bool   // whether the sender may be assigned jobs
	epoch        uint64 // of the latest coordinator that sent the sender a lease or a job list
	listSequence uint64 // of the last job list that the sender accepted in that epoch; 0 if none
}

// leaseGranted is the coordinator's reply to a leaseRequest, once the voters have confirmed that it
// leads.
type leaseGranted struct {
	sequence      uint64 // of the request
	incarnation   uint64 // of the requesting process
	epoch         uint64 // in which the coordinator leads
	requestsOffer bool   // whether the process must send a jobOffer, since the coordinator has none of it
}

// leaderRedirect is the reply to a leaseRequest from a voter that does not lead.
type leaderRedirect struct {
	leader uint32 // peer; 0 if unknown
}

// jobOffer tells the coordinator which jobs a process can own.
type jobOffer struct {
	sender processID
	jobs   []string
}

// jobList is the coordinator's complete list of the jobs that a process is to own.
type jobList struct {
	incarnation uint64 // of the process that it is for
	epoch       uint64 // in which the coordinator leads; rises with each new coordinator
	sequence    uint64 // rises within the epoch
	jobs        []listedJob
}

// listedJob is a job in a jobList, with the checkpoint to start from.
type listedJob struct {
	job              string
	token            uint64 // of the grant
	checkpointNumber uint64 // 0 if there is no checkpoint
	handover         bool   // whether the process must release the job for another one
	checkpoint       []byte
}

// jobReleased notifies the coordinator that a process has stopped a job. The process repeats it until
// the job list no longer contains the job.
type jobReleased struct {
	sender           processID
	eligible         bool // whether the sender may be assigned jobs
	job              string
	token            uint64
	higherToken      uint64 // token above the sender's own, under which a receiver has accepted an effect (see effectMessage); 0 if none is known
	checkpointNumber uint64
	checkpoint       []byte
	reason           string // text; see reasons.go
}

// storeCheckpoint asks the coordinator to store a checkpoint in the replicated table.
type storeCheckpoint struct {
	job              string
	token            uint64
	checkpointNumber uint64
	checkpoint       []byte
}

// checkpointResult is the reply to storeCheckpoint. The checkpoint is not stored if the same or a later one
// already is, or if the sender does not own the job under the token.
type checkpointResult struct {
	job              string
	token            uint64
	checkpointNumber uint64
	stored           bool // whether the checkpoint was stored
}

// effectMessage carries an effect, by which the owner of a job changes the receiving process.
type effectMessage struct {
	job   string
	token FencingToken
	body  []byte
}

// effectAck is the receiver's reply to an effectMessage.
type effectAck struct {
	job     string
	token   FencingToken
	verdict Verdict
	highest FencingToken // of the latest effect of the job that the receiver has accepted; zero if none
}

// moveRequest is an operator's request to hand a job over to a member.
type moveRequest struct {
	job, member string // names
	tag         uint64 // chosen by the sender; returned in the reply
}

// moveReply is the reply to moveRequest.
type moveReply struct {
	tag     uint64
	refusal string // why the request is refused; empty if it is accepted
}

// queryMessage is a query to the owner of a job. The coordinator forwards it.
type queryMessage struct {
	job       string
	tag       uint64 // chosen by the requester; returned in the reply
	requester uint32 // peer
	body      []byte
	encoded   []byte // the message as received; forwarded unchanged
}

// queryReply is the owner's reply to a queryMessage, sent directly to the requester.
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

// malformed returns an error for a message of the given kind that can't be decoded or is invalid.
func malformed(kind fmt.Stringer, cause error) error {
	return fmt.Errorf("%w: %v: %w", ErrMalformedMessage, kind, cause)
}
