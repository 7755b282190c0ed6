package as2

import (
	"bytes"
	"fmt"
	"strings"
)

// Proof is what an answer proves of a message that was sent.
type Proof uint8

// The proofs, from the one that allows nothing more to the one that allows a repeat of anything.
const (
	Unproven  Proof = iota // it may have been applied, and may yet be
	Delivered              // it has been applied, or was before
	Rejected               // it has not been applied, and the partner will not apply it
	Awaited                // it was taken; its receipt is to come by itself
	NotRun                 // it has not reached the partner
)

func (p Proof) String() string {
	switch p {
	case Unproven:
		return "unproven"
	case Delivered:
		return "delivered"
	case Rejected:
		return "rejected"
	case Awaited:
		return "awaited"
	case NotRun:
		return "not run"
	}
	return "unknown"
}

// Sent is what has to be known of a message to judge its receipt.
type Sent struct {
	ID       string // Message-ID
	From, To string // AS2 names
	MICs     []MIC  // of each time that it was sent: a repeat may have another one
	Receipt  Receipt
}

// rejections are the errors after which the content can't have been applied, for it could not be read or was not taken.
var rejections = map[string]bool{
	string(AuthenticationFailed): true, string(DecompressionFailed): true, string(DecryptionFailed): true,
	string(InsufficientSecurity): true, string(IntegrityFailed): true,
	"unsupported format": true, "unsupported mic-algorithms": true, "sender-equals-receiver": true,
}

// Judge says what a receipt proves, and why. A receipt that is not signed where that was asked for, is for another
// message or between others, or has no MIC or a wrong one, proves nothing.
func Judge(s Sent, m *MDN) (Proof, string) {
	switch {
	case s.Receipt.Signed && !m.Signed:
		return Unproven, "the receipt is not signed"
	case m.OriginalID != s.ID:
		return Unproven, fmt.Sprintf("the receipt is for message %q", short(m.OriginalID))
	case m.From != "" && m.From != s.To, m.To != "" && m.To != s.From:
		return Unproven, fmt.Sprintf("the receipt is from %q to %q", short(m.From), short(m.To))
	}
	d := m.Disposition
	switch {
	case !d.Processed || d.Severity == "error" || d.Severity == "failure":
		if rejections[strings.ToLower(d.Detail)] {
			return Rejected, d.String()
		}
		return Unproven, d.String()
	case d.Severity == "warning" && strings.ToLower(d.Detail) == "duplicate-document":
		return Delivered, "the partner has it already"
	}
	if m.MIC.Digest == "" {
		return Unproven, "the receipt has no MIC"
	}
	for _, sent := range s.MICs {
		if sent.Digest == m.MIC.Digest && bytes.Equal(sent.Sum, m.MIC.Sum) {
			return Delivered, d.String()
		}
	}
	return Unproven, "the receipt's MIC is of another content"
}

// JudgeAnswer says what the answer to a message proves. Receipts that come by themselves are judged by Judge when they
// are there.
func JudgeAnswer(s Sent, status int, header []Field, body []byte, from Partner, l Limits) (Proof, string) {
	good := status >= 200 && status < 300
	switch {
	case !s.Receipt.Want && good:
		// Without a receipt the HTTP answer is all that there will be (RFC 4130, 2.4.2), and no proof of the content.
		return Unproven, fmt.Sprintf("status %d without a receipt", status)
	case s.Receipt.AsyncTo != "" && good && len(bytes.TrimSpace(body)) == 0:
		return Awaited, fmt.Sprintf("status %d", status)
	}
	m, err := ReadMDN(header, body, from, l)
	if err != nil {
		if s.Receipt.AsyncTo != "" && good {
			return Awaited, fmt.Sprintf("status %d", status) // a page of words, as some products answer
		}
		return Unproven, fmt.Sprintf("status %d: %v", status, err)
	}
	p, why := Judge(s, m)
	if p == Delivered && !good {
		return Unproven, fmt.Sprintf("status %d contradicts the receipt: %s", status, why)
	}
	return p, why
}
