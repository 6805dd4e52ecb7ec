package upstreamtls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"strings"
	"syscall"
)

// Reason is why there is no connection.
type Reason string

// The reasons. Those of the second group are faults of the proxy's own: they strike all hosts at once.
const (
	Unreachable    Reason = "unreachable"      // no TCP connection
	TimedOut       Reason = "timeout"          // not done in time
	NoBudget       Reason = "no_budget"        // the handshake budget has no capacity in time
	NotTLS         Reason = "not_tls"          // the host speaks something else
	OldVersion     Reason = "old_version"      // no version that both speak
	NoCertificate  Reason = "no_certificate"   // none was shown
	SelfSigned     Reason = "self_signed"      // signed by itself, and not trusted
	UnknownCA      Reason = "unknown_ca"       // signed by nobody trusted
	WrongName      Reason = "wrong_name"       // for another host
	Expired        Reason = "expired"          // no longer valid
	NotYetValid    Reason = "not_yet_valid"    // the clocks differ, or it was put in place too soon
	WrongUsage     Reason = "wrong_usage"      // not for servers
	Revoked        Reason = "revoked"          // revoked by its authority
	WeakKey        Reason = "weak_key"         // key or signature too weak
	TooLarge       Reason = "too_large"        // a handshake message beyond the limit
	ConnectionLost Reason = "broken_off"       // the host ended or reset the connection
	ProtocolError  Reason = "protocol"         // what it sent makes no sense, or does not verify
	NoExpectedName Reason = "no_name"          // the options have no name to expect of it
	RejectedByHost Reason = "rejected_by_host" // the host rejected this side's certificate or parameters

	OwnCertificateExpired Reason = "own_certificate_expired"
	OwnTrustUnusable      Reason = "own_trust_unusable" // the bundle or a revocation list
)

// IsOwnFault reports whether the proxy's own files are at fault.
func (r Reason) IsOwnFault() bool { return r == OwnCertificateExpired || r == OwnTrustUnusable }

// Failure is a handshake that did not come about.
type Failure struct {
	Reason Reason
	Step   string // how far it had come: queue, connect, hello, certificate, finish
	Err    error  // what the system or the library said; may be nil
}

// Error is the reason, the step and the error behind it.
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("%s at %s", f.Reason, f.Step)
	}
	return fmt.Sprintf("%s at %s: %v", f.Reason, f.Step, f.Err)
}

// Unwrap gives the error behind it.
func (f *Failure) Unwrap() error { return f.Err }

func newCertificateFailure(r Reason, format string, args ...any) *Failure {
	return &Failure{Reason: r, Step: "certificate", Err: fmt.Errorf(format, args...)}
}

// rejectionAlerts are the alerts by which a peer rejects this side: RFC 8446, 6.2. None of them can come from a peer that has read application
// data, since that takes a handshake it has accepted.
var rejectionAlerts = map[uint64]bool{40: true, 42: true, 43: true, 44: true, 45: true, 46: true, 48: true, 49: true, 116: true}

const (
	alertVersion          = 70
	alertUnrecognizedName = 112 // unrecognized_name: the host has no certificate for the requested name
)

// peerAlert finds the alert that the peer sent. crypto/tls does not export its type.
func peerAlert(err error) (code uint64, ok bool) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "remote error" && op.Err != nil {
		if v := reflect.ValueOf(op.Err); v.Kind() == reflect.Uint8 {
			return v.Uint(), true
		}
	}
	return 0, false
}

// classifyHandshakeError finds the reason in an error of crypto/tls. received: something had come from the peer.
func classifyHandshakeError(err error, received bool) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	f = &Failure{Reason: ProtocolError, Step: "hello", Err: err}
	if received {
		f.Step = "finish"
	}
	var header tls.RecordHeaderError
	var verify *tls.CertificateVerificationError
	var timeout net.Error
	text := err.Error()
	switch code, alert := peerAlert(err); {
	case alert && code == alertVersion:
		f.Reason = OldVersion
	case alert && code == alertUnrecognizedName:
		f.Reason, f.Step = NoCertificate, "certificate"
	case alert && rejectionAlerts[code]:
		f.Reason = RejectedByHost
	case errors.As(err, &verify):
		f.Reason, f.Step = UnknownCA, "certificate"
	case errors.As(err, &header):
		f.Reason, f.Step = NotTLS, "hello"
	case strings.Contains(text, "unsupported protocol version"), strings.Contains(text, "unsupported version"):
		f.Reason, f.Step = OldVersion, "hello"
	case strings.Contains(text, "oversized record"):
		f.Reason = NotTLS
	case strings.Contains(text, "exceeds maximum"), strings.Contains(text, "message too large"):
		f.Reason = TooLarge
	case strings.Contains(text, "key size too small"), strings.Contains(text, "RSA key too small"):
		f.Reason, f.Step = WeakKey, "certificate"
	case strings.Contains(text, "received empty certificates message"), strings.Contains(text, "server did not send a certificate"):
		f.Reason, f.Step = NoCertificate, "certificate"
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		f.Reason = TimedOut
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET),
		errors.Is(err, syscall.EPIPE), errors.Is(err, net.ErrClosed):
		f.Reason = ConnectionLost
	}
	return f
}

// classifyVerifyError finds the reason in an error of the verification. early: a certificate is not valid yet.
func classifyVerifyError(err error, leaf *x509.Certificate, notYetValid bool) *Failure {
	f := &Failure{Reason: UnknownCA, Step: "certificate", Err: err}
	var invalid x509.CertificateInvalidError
	var unknown x509.UnknownAuthorityError
	var name x509.HostnameError
	switch {
	case errors.As(err, &name):
		f.Reason = WrongName
	case errors.As(err, &invalid):
		switch invalid.Reason {
		case x509.Expired:
			if f.Reason = Expired; notYetValid {
				f.Reason = NotYetValid
			}
		case x509.IncompatibleUsage:
			f.Reason = WrongUsage
		case x509.CANotAuthorizedForThisName, x509.NameConstraintsWithoutSANs:
			f.Reason = WrongName
		}
	case errors.As(err, &unknown):
		if leaf.Subject.String() == leaf.Issuer.String() && leaf.CheckSignature(leaf.SignatureAlgorithm, leaf.RawTBSCertificate, leaf.Signature) == nil {
			f.Reason = SelfSigned
		}
	}
	return f
}
