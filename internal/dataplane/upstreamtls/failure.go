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

// Reason is the reason why a connection failed or broke, as the log shows it.
type Reason string

// The reasons for a Failure. Those of the second group are faults of the proxy's own files, which affect
// all hosts at once.
const (
	Unreachable    Reason = "unreachable"      // no TCP connection
	TimedOut       Reason = "timeout"          // not established in time
	NoBudget       Reason = "no_budget"        // the handshake budget has no capacity before the deadline, or its queue is full
	NotTLS         Reason = "not_tls"          // the host does not speak TLS
	OldVersion     Reason = "old_version"      // no TLS version that both sides support
	NoCertificate  Reason = "no_certificate"   // the host presented no certificate
	SelfSigned     Reason = "self_signed"      // self-signed and not trusted
	UnknownCA      Reason = "unknown_ca"       // not signed by a trusted authority
	WrongName      Reason = "wrong_name"       // issued for another host
	Expired        Reason = "expired"          // the certificate has expired
	NotYetValid    Reason = "not_yet_valid"    // the clocks differ, or the certificate was installed too early
	WrongUsage     Reason = "wrong_usage"      // the key usage does not allow use by a server
	Revoked        Reason = "revoked"          // revoked by its authority
	WeakKey        Reason = "weak_key"         // the key or signature algorithm is too weak
	TooLarge       Reason = "too_large"        // a handshake message exceeds the limit
	ConnectionLost Reason = "broken_off"       // the connection was closed or reset
	ProtocolError  Reason = "protocol"         // the host violated the protocol, or its signature does not verify
	NoExpectedName Reason = "no_name"          // the options specify no name for the host
	RejectedByHost Reason = "rejected_by_host" // the host rejected this side's certificate or parameters

	OwnCertificateExpired Reason = "own_certificate_expired" // the proxy's certificate has expired
	OwnTrustUnusable      Reason = "own_trust_unusable"      // no authority is trusted, or a revocation list has expired
)

// IsOwnFault reports whether the proxy's own files are at fault.
func (r Reason) IsOwnFault() bool { return r == OwnCertificateExpired || r == OwnTrustUnusable }

// Failure is the error of a connection that was not established, or that broke afterwards.
type Failure struct {
	Reason Reason
	Step   string // the step that failed: queue, connect, hello, certificate or finish
	Err    error  // the error of the system or of crypto/tls; may be nil
}

// Error returns the reason, the step and the underlying error, if any.
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("%s at %s", f.Reason, f.Step)
	}
	return fmt.Sprintf("%s at %s: %v", f.Reason, f.Step, f.Err)
}

// Unwrap returns the underlying error, or nil if there is none.
func (f *Failure) Unwrap() error { return f.Err }

// newCertificateFailure returns a failure at the step "certificate". format and args are those of
// fmt.Errorf.
func newCertificateFailure(r Reason, format string, args ...any) *Failure {
	return &Failure{Reason: r, Step: "certificate", Err: fmt.Errorf(format, args...)}
}

// rejectionAlerts are the alerts by which a peer rejects this side's handshake (RFC 8446, 6.2). A peer
// that has read application data sends none of them, since it has accepted the handshake by then.
//
// They are handshake_failure (40), bad_certificate (42), unsupported_certificate (43),
// certificate_revoked (44), certificate_expired (45), certificate_unknown (46), unknown_ca (48),
// access_denied (49) and certificate_required (116).
var rejectionAlerts = map[uint64]bool{40: true, 42: true, 43: true, 44: true, 45: true, 46: true, 48: true, 49: true, 116: true}

// The other alerts that classifyTLSError distinguishes (RFC 8446, 6.2).
const (
	alertProtocolVersion  = 70
	alertUnrecognizedName = 112 // the host has no certificate for the requested name
)

// peerAlert returns the code of the alert that the peer sent, and reports whether err is one.
// crypto/tls does not export the type of the alert.
func peerAlert(err error) (code uint64, ok bool) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "remote error" && op.Err != nil {
		if v := reflect.ValueOf(op.Err); v.Kind() == reflect.Uint8 {
			return v.Uint(), true
		}
	}
	return 0, false
}

// classifyTLSError returns the failure for an error of crypto/tls during or after the handshake. received
// reports whether the peer had sent anything, which decides the failure's step. Errors that crypto/tls does
// not export are recognized by their texts.
func classifyTLSError(err error, received bool) *Failure {
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
	case alert && code == alertProtocolVersion:
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

// classifyVerifyError returns the failure for an error of crypto/x509 in the verification of leaf.
// notYetValid reports whether a presented certificate is not valid yet, which crypto/x509 reports like
// an expired one.
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
