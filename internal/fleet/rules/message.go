package rules

import (
	"crypto/sha256"
	"errors"
)

// queryKind is the first byte of a query to the coordinator.
type queryKind = byte

const (
	queryLease   queryKind = 'k'
	queryPropose queryKind = 'p'
	queryActive  queryKind = 's'
	queryHistory queryKind = 'h'
	queryVersion queryKind = 'r'
	queryStatus  queryKind = 't'
)

// maxProposalBytes bounds a change: a version and what is around it.
const (
	maxProposalBytes = maxEncodedBytes + maxEncodedBytes/4
	maxChangeIDBytes = 16
)

// Queries that can't be decoded. The texts are answers to administrators.
var (
	errUnknownQuery    = errors.New("a question that is not known here")
	errMalformedChange = errors.New("a change that can't be read")
	errMalformedNumber = errors.New("a number that can't be read")
	errMalformedLease  = errors.New("a lease query that can't be read") // gets no answer: a member asks again
)

// A query to the coordinator, decoded.
type (
	// leaseQuery is a member's request for its lease, with what it has.
	leaseQuery struct {
		_             struct{} `cbor:",toarray"`
		ActiveNumber  uint64   // of the version that it acts by; 0: none
		ReadyNumber   uint64   // of the newest version that it has compiled; 0: none
		ReadyHash     []byte
		Fault         string // why a version can't be used here; "": none
		FaultyVersion []byte // its hash
	}
	proposalQuery struct{ change *Change }
	activeQuery   struct{}
	statusQuery   struct{}
	historyQuery  struct{ about string }
	versionQuery  struct{ number uint64 } // 0: the active one
)

// leaseReply is the coordinator's answer to a leaseQuery.
type leaseReply struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   // of the version that the member may act by
	Hash   []byte
	Active []byte // that version, where the member has it not
	Staged []byte // the next one, where the member has it not
}

func (q *leaseQuery) encode() []byte { return append([]byte{queryLease}, marshal(q)...) }

func (r *leaseReply) encode() []byte { return marshal(r) }

func decodeLeaseReply(body []byte) (r leaseReply, err error) {
	err = unmarshal(body, &r)
	return r, err
}

// decodeQuery reads a query of at least one byte.
func decodeQuery(body []byte) (any, error) {
	kind, body := body[0], body[1:]
	switch kind {
	case queryLease:
		var q leaseQuery
		if unmarshal(body, &q) != nil {
			return nil, errMalformedLease
		}
		return &q, nil
	case queryPropose:
		c, err := decodeProposal(body)
		return proposalQuery{c}, err
	case queryActive:
		return activeQuery{}, nil
	case queryStatus:
		return statusQuery{}, nil
	case queryHistory:
		return historyQuery{string(body)}, nil
	case queryVersion:
		var number uint64
		if unmarshal(body, &number) != nil {
			return nil, errMalformedNumber
		}
		return versionQuery{number}, nil
	}
	return nil, errUnknownQuery
}

func decodeProposal(body []byte) (*Change, error) {
	c := &Change{}
	body, err := decompress(body)
	if err != nil || len(body) > maxProposalBytes || unmarshal(body, c) != nil || len(c.ID) > maxChangeIDBytes || len(c.Part) > 2*maxNameBytes {
		return nil, errMalformedChange
	}
	return c, nil
}

// IsQuestion reports whether administrators may send a query; members alone ask for leases.
func IsQuestion(body []byte) bool {
	if len(body) == 0 {
		return false
	}
	switch body[0] {
	case queryPropose, queryActive, queryHistory, queryVersion, queryStatus:
		return true
	}
	return false
}

// DecodeReply gives an answer as text; long ones come compressed.
func DecodeReply(answer string) string {
	if answer == "" || answer[0] != formCompressed {
		return answer
	}
	out, err := inflate([]byte(answer[1:]), maxReplyBytes)
	if err != nil {
		return "unknown: the answer can't be read"
	}
	return string(out)
}

// EncodeProposal is the query that proposes a change. One without an ID gets one by SetID.
func EncodeProposal(c *Change) []byte {
	c.SetID()
	return append([]byte{queryPropose}, compress(marshal(c))...)
}

// SetID gives a change that has no ID one made of its content, so that a retry is recognised.
func (c *Change) SetID() {
	if len(c.ID) == 0 {
		h := sha256.Sum256(marshal(c))
		c.ID = h[:maxChangeIDBytes]
	}
}

// QueryActive asks which version is active, and at how many processes.
func QueryActive() []byte { return []byte{queryActive} }

// QueryStatus asks who may act by which version, and what the coordinator waits for.
func QueryStatus() []byte { return []byte{queryStatus} }

// QueryHistory asks for the audit log; about narrows it to one subject, "" to none.
func QueryHistory(about string) []byte { return append([]byte{queryHistory}, about...) }

// QueryVersion asks for a version's text; 0: the active one's.
func QueryVersion(number uint64) []byte { return append([]byte{queryVersion}, marshal(number)...) }
