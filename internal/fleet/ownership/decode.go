package ownership

import (
	"errors"
	"fmt"

	"croftlock/internal/fleet/encoding"
)

var (
	errNoJob          = errors.New("no job name")
	errNoIncarnation  = errors.New("incarnation is zero")
	errUnknownVerdict = errors.New("unknown verdict")
)

// decodeMessage decodes a message between Cores and validates it. See messages.go for the fields. Byte
// slices in the message refer to data and are not copied.
func decodeMessage(data []byte) (message, error) {
	r := encoding.Reader{Data: data}
	kind := messageKind(r.Uint())
	var m message
	switch kind {
	case kindLeaseRequest:
		m = decodeLeaseRequest(&r)
	case kindLeaseGranted:
		m = leaseGranted{sequence: r.Uint(), incarnation: r.Uint(), epoch: r.Uint(), requestsOffer: r.Bool()}
	case kindLeaderRedirect:
		m = leaderRedirect{leader: uint32(r.Uint())}
	case kindJobOffer:
		m = decodeJobOffer(&r)
	case kindJobList:
		m = decodeJobList(&r)
	case kindJobReleased:
		m = decodeJobReleased(&r)
	case kindStoreCheckpoint:
		m = storeCheckpoint{job: r.Text(maxNameBytes), token: r.Uint(), checkpointNumber: r.Uint(), checkpoint: r.Bytes(MaxCheckpointBytes)}
	case kindCheckpointResult:
		m = checkpointResult{job: r.Text(maxNameBytes), token: r.Uint(), checkpointNumber: r.Uint(), stored: r.Bool()}
	case kindEffect:
		m = effectMessage{job: r.Text(maxNameBytes), token: decodeFencingToken(&r), body: r.Bytes(maxBodyBytes)}
	case kindEffectAck:
		m = effectAck{job: r.Text(maxNameBytes), token: decodeFencingToken(&r), verdict: Verdict(r.Uint()), highest: decodeFencingToken(&r)}
	case kindMoveRequest:
		m = moveRequest{job: r.Text(maxNameBytes), member: r.Text(maxNameBytes), tag: r.Uint()}
	case kindMoveReply:
		m = moveReply{tag: r.Uint(), refusal: r.Text(maxReasonBytes)}
	case kindQuery:
		m = queryMessage{job: r.Text(maxNameBytes), tag: r.Uint(), requester: uint32(r.Uint()), body: r.Bytes(maxBodyBytes), encoded: data}
	case kindQueryReply:
		m = queryReply{tag: r.Uint(), body: r.Bytes(maxBodyBytes)}
	default:
		return nil, fmt.Errorf("%w: %v", ErrUnknownMessage, kind)
	}
	if err := r.Err(); err != nil {
		return nil, malformed(kind, err)
	}
	return m, validate(m)
}

// validate returns an error that wraps ErrMalformedMessage if m contains a value that a correct sender
// never sends.
func validate(m message) error {
	switch m := m.(type) {
	case leaseRequest:
		if m.sender.incarnation == 0 {
			return malformed(kindLeaseRequest, errNoIncarnation)
		}
	case effectMessage:
		if m.job == "" {
			return malformed(kindEffect, errNoJob)
		}
	case effectAck:
		if m.verdict > Stale {
			return malformed(kindEffectAck, fmt.Errorf("%w: %d, expected at most %d", errUnknownVerdict, uint8(m.verdict), uint8(Stale)))
		}
	}
	return nil
}

func decodeProcessID(r *encoding.Reader) processID {
	return processID{name: r.Text(maxNameBytes), incarnation: r.Uint()}
}

func decodeFencingToken(r *encoding.Reader) FencingToken {
	return FencingToken{Token: r.Uint(), Sequence: r.Uint()}
}

func decodeLeaseRequest(r *encoding.Reader) leaseRequest {
	return leaseRequest{sender: decodeProcessID(r), sequence: r.Uint(), eligible: r.Bool(), epoch: r.Uint(), listSequence: r.Uint()}
}

func decodeJobOffer(r *encoding.Reader) jobOffer {
	m := jobOffer{sender: decodeProcessID(r)}
	for n := r.Count(MaxJobs); n > 0; n-- {
		m.jobs = append(m.jobs, r.Text(maxNameBytes))
	}
	return m
}

func decodeJobList(r *encoding.Reader) jobList {
	m := jobList{incarnation: r.Uint(), epoch: r.Uint(), sequence: r.Uint()}
	for n := r.Count(MaxJobs); n > 0; n-- {
		m.jobs = append(m.jobs, listedJob{
			job: r.Text(maxNameBytes), token: r.Uint(), checkpointNumber: r.Uint(), handover: r.Bool(), checkpoint: r.Bytes(MaxCheckpointBytes)})
	}
	return m
}

func decodeJobReleased(r *encoding.Reader) jobReleased {
	return jobReleased{
		sender:           decodeProcessID(r),
		eligible:         r.Bool(),
		job:              r.Text(maxNameBytes),
		token:            r.Uint(),
		higherToken:      r.Uint(),
		checkpointNumber: r.Uint(),
		checkpoint:       r.Bytes(MaxCheckpointBytes),
		reason:           r.Text(maxReasonBytes),
	}
}
