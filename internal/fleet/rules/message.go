package rules

import (
	"crypto/sha256"
	"errors"
)

// queryKind is the first byte of a query to the publisher.
type queryKind = byte

const (
	queryLease   queryKind = 'k'
	queryPropose queryKind = 'p'
	queryActive  queryKind = 's'
	queryHistory queryKind = 'h'
	queryVersion queryKind = 'r'
	queryStatus  queryKind = 't'
)

const (
	maxProposalBytes = maxEncodedBytes + maxEncodedBytes/4 // a change holds a version and more
	maxChangeIDBytes = 16
)

// Queries that can't be decoded. The texts are answers to administrators.
var (
	errUnknownQuery    = errors.New("a question that is not known here")
	errMalformedChange = errors.New("a change that can't be read")
	errMalformedNumber = errors.New("a number that can't be read")
	errMalformedLease  = errors.New("a lease query that can't be read") // gets no answer: the member sends the next one soon
)

// A query to the publisher, decoded.
type (
	// leaseQuery is a member's request for its lease, and says what the member has.
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

// leaseReply is the publisher's answer to a leaseQuery.
type leaseReply struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   // of the version that the member may act by
	Hash   []byte
	Active []byte // that version, where the member lacks it
	Staged []byte // the staged version, where the member lacks it
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
	if err != nil || len(body) > maxProposalBytes || unmarshal(body, c) != nil || len(c.ID) > maxChangeIDBytes || len(c.Account) > 2*maxNameBytes {
		return nil, errMalformedChange
	}
	return c, nil
}

// IsAdminQuery reports whether administrators may send a query: all but the request for a lease, which is for members alone.
func IsAdminQuery(body []byte) bool {
	if len(body) == 0 {
		return false
	}
	switch body[0] {
	case queryPropose, queryActive, queryHistory, queryVersion, queryStatus:
		return true
	}
	return false
}

// DecodeReply gives a reply to an administrator as text; long ones come compressed.
func DecodeReply(answer string) string {
	if answer == "" || answer[0] != formatCompressed {
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

// SetID gives a change without an ID the hash of its content as one, so that a retry is recognised.
func (c *Change) SetID() {
	if len(c.ID) == 0 {
		h := sha256.Sum256(marshal(c))
		c.ID = h[:maxChangeIDBytes]
	}
}

// QueryActive is the query for the active version's number, and at how many processes it is.
func QueryActive() []byte { return []byte{queryActive} }

// QueryStatus is the query for who holds which lease, and what the publisher waits for.
func QueryStatus() []byte { return []byte{queryStatus} }

// QueryHistory is the query for the audit log; about narrows it to one subject, "": the complete log.
func QueryHistory(about string) []byte { return append([]byte{queryHistory}, about...) }

// QueryVersion is the query for a version's text; 0: the active one's.
func QueryVersion(number uint64) []byte { return append([]byte{queryVersion}, marshal(number)...) }
