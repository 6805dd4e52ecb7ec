package rules

import (
	"crypto/sha256"
	"errors"
)

// queryKind is the first byte of a query to the publisher; see the query types below.
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
	maxProposalBytes = maxEncodedBytes + maxEncodedBytes/4 // of a decompressed change: a version and the other fields
	maxChangeIDBytes = 16                                  // of Change.ID
)

// Errors of queries that can't be decoded. Administrators get the texts as answers.
var (
	errUnknownQuery    = errors.New("a question that is not known here")
	errMalformedChange = errors.New("a change that can't be read")
	errMalformedNumber = errors.New("a number that can't be read")
	errMalformedLease  = errors.New("a lease query that can't be read") // no reply: the member soon sends its next query
)

// The decoded queries to the publisher, one type for each queryKind.
type (
	// leaseQuery is a member's request for its lease. It reports the member's versions.
	leaseQuery struct {
		_             struct{} `cbor:",toarray"`
		ActiveNumber  uint64   // of the version that the member acts by; 0 if none
		ReadyNumber   uint64   // of the newest version that the member has compiled; 0 if none
		ReadyHash     []byte   // empty if ReadyNumber is 0
		Fault         string   // why the member can't use a version; empty if there is no fault
		FaultyVersion []byte   // hash of the version that Fault is about
	}
	proposalQuery struct{ change *Change } // proposes a change
	activeQuery   struct{}                 // the active version's number and the lease holders
	statusQuery   struct{}                 // all leases and the state of the staged version
	historyQuery  struct{ about string }   // a subject; empty for the complete log
	versionQuery  struct{ number uint64 }  // 0 for the active version
)

// leaseReply is the publisher's answer to a leaseQuery.
type leaseReply struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   // of the version that the lease covers
	Hash   []byte   // of that version
	Active []byte   // that version, encoded for transfer; empty if the member has it
	Staged []byte   // the staged version, encoded for transfer; empty if there is none or the member has it
}

func (q *leaseQuery) encode() []byte { return append([]byte{queryLease}, marshal(q)...) }

func (r *leaseReply) encode() []byte { return marshal(r) }

func decodeLeaseReply(body []byte) (r leaseReply, err error) {
	err = unmarshal(body, &r)
	return r, err
}

// decodeQuery decodes a query, which must not be empty, into one of the query types.
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

// decodeProposal decodes a proposed change, which is compressed if it is long.
func decodeProposal(body []byte) (*Change, error) {
	c := &Change{}
	body, err := decompress(body)
	if err != nil || len(body) > maxProposalBytes || unmarshal(body, c) != nil || len(c.ID) > maxChangeIDBytes || len(c.Account) > 2*maxNameBytes {
		return nil, errMalformedChange
	}
	return c, nil
}

// IsAdminQuery reports whether administrators may send a query. They may send all kinds except the
// lease query, which only members send.
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

// DecodeReply returns the text of a reply to an administrator, which is compressed if it is long.
// If the reply can't be decoded it returns a text that starts with "unknown: ".
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

// EncodeProposal returns the query that proposes a change. It sets the ID of a change without one.
func EncodeProposal(c *Change) []byte {
	c.SetID()
	return append([]byte{queryPropose}, compress(marshal(c))...)
}

// SetID sets the ID of a change without one to the hash of its content, so that a retry is
// recognised.
func (c *Change) SetID() {
	if len(c.ID) == 0 {
		h := sha256.Sum256(marshal(c))
		c.ID = h[:maxChangeIDBytes]
	}
}

// QueryActive returns the query for the number of the active version, and for the members that hold
// a lease.
func QueryActive() []byte { return []byte{queryActive} }

// QueryStatus returns the query for the members' leases, and for what the publisher waits for.
func QueryStatus() []byte { return []byte{queryStatus} }

// QueryHistory returns the query for the audit log entries about one subject. An empty subject
// means the complete log.
func QueryHistory(about string) []byte { return append([]byte{queryHistory}, about...) }

// QueryVersion returns the query for the text of a version. Number 0 means the active version.
func QueryVersion(number uint64) []byte { return append([]byte{queryVersion}, marshal(number)...) }
