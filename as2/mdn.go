package as2

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Disposition is what a receipt says has become of a message (RFC 8098, 3.2.6, and RFC 4130, 7.5).
type Disposition struct {
	Processed bool   // processed, otherwise failed
	Severity  string // error, failure or warning; empty for a message that was processed as it should be
	Detail    string // what stands behind the severity
}

func (d Disposition) String() string {
	text := "automatic-action/MDN-sent-automatically; processed"
	if !d.Processed {
		text = "automatic-action/MDN-sent-automatically; failed"
	}
	if d.Severity != "" {
		text += "/" + d.Severity + ": " + d.Detail
	}
	return text
}

func parseDisposition(text string) (Disposition, error) {
	_, kind, ok := strings.Cut(text, ";")
	if !ok {
		return Disposition{}, fmt.Errorf("Disposition %q: %w", short(text), ErrSyntax)
	}
	kind, modifier, _ := strings.Cut(strings.TrimSpace(kind), "/")
	var d Disposition
	switch strings.ToLower(strings.TrimSpace(kind)) {
	case "processed":
		d.Processed = true
	case "failed":
	default:
		return d, fmt.Errorf("Disposition %q is neither processed nor failed: %w", short(text), ErrSyntax)
	}
	severity, detail, _ := strings.Cut(modifier, ":")
	d.Severity, d.Detail = strings.ToLower(strings.TrimSpace(severity)), strings.TrimSpace(detail)
	switch d.Severity {
	case "", "error", "failure", "warning":
		return d, nil
	}
	return d, fmt.Errorf("Disposition %q has an unknown modifier: %w", short(text), ErrSyntax)
}

// MDN is a receipt: a message disposition notification.
type MDN struct {
	From, To    string // AS2 names; From is who gives it
	ID          string // its own Message-ID
	OriginalID  string // of the message that it is for
	Disposition Disposition
	MIC         MIC    // as received; a zero one is not given
	Text        string // for a person
	Agent       string // Reporting-UA

	// Of one that was read.
	Signed bool
}

// Write makes a receipt, signed if a digest is given.
func (m *MDN) Write(own Key, d Digest) (*Sealed, error) {
	for name, value := range map[string]string{"AS2-From": m.From, "AS2-To": m.To, "Message-ID": m.ID, "Original-Message-ID": m.OriginalID,
		"Reporting-UA": m.Agent, "Disposition": m.Disposition.String()} {
		if err := checkValue(name, value); err != nil {
			return nil, err
		}
	}
	text := &Entity{Header: []Field{{"Content-Type", "text/plain; charset=utf-8"}, {"Content-Transfer-Encoding", "8bit"}},
		Body: canonical([]byte(m.Text + "\n"))}
	fields := []Field{{"Reporting-UA", m.Agent}, {"Original-Recipient", "rfc822; " + quoted(m.From)},
		{"Final-Recipient", "rfc822; " + quoted(m.From)}, {"Original-Message-ID", m.OriginalID}, {"Disposition", m.Disposition.String()}}
	if m.MIC.Digest != "" {
		fields = append(fields, Field{"Received-Content-MIC", m.MIC.String()})
	}
	machine := &Entity{Header: []Field{{"Content-Type", "message/disposition-notification"}, {"Content-Transfer-Encoding", "7bit"}},
		Body: (&Entity{Header: fields}).Bytes()}
	boundary := newBoundary()
	e := &Entity{
		Header: []Field{{"Content-Type", `multipart/report; report-type=disposition-notification; boundary="` + boundary + `"`}},
		Body:   multipart(boundary, text.Bytes(), machine.Bytes()),
	}
	if d != "" {
		var err error
		if e, err = signed(e, own, d); err != nil {
			return nil, err
		}
	}
	return &Sealed{Body: e.Body, Header: append([]Field{{"MIME-Version", "1.0"}, {"AS2-Version", "1.2"}, {"AS2-From", quoted(m.From)},
		{"AS2-To", quoted(m.To)}, {"Message-ID", m.ID}}, e.Header...)}, nil
}

// ErrNoMDN says that what was read is no receipt.
var ErrNoMDN = errors.New("it is no receipt")

// ReadMDN reads a receipt from a partner. A signature that is there must hold; one that is missing is the caller's to judge.
func ReadMDN(header []Field, body []byte, from Partner, l Limits) (*MDN, error) {
	if len(body) > l.Body {
		return nil, fmt.Errorf("as2: a receipt of %d bytes: %w", len(body), ErrTooLarge)
	}
	e := &Entity{Header: header, Body: body}
	kind, params, err := e.mediaType()
	if err != nil {
		return nil, fmt.Errorf("as2: receipt: %w", err)
	}
	m := &MDN{From: Unquote(e.Get("AS2-From")), To: Unquote(e.Get("AS2-To")), ID: e.Get("Message-ID")}
	if kind == "multipart/signed" {
		inner, _, _, err := openSigned(e, params, from, l)
		if err != nil {
			return nil, fmt.Errorf("as2: receipt: %w", err)
		}
		m.Signed, e = true, inner
		if kind, params, err = e.mediaType(); err != nil {
			return nil, fmt.Errorf("as2: receipt: %w", err)
		}
	}
	if kind != "multipart/report" {
		return nil, fmt.Errorf("as2: %s: %w", short(kind), ErrNoMDN)
	}
	text, err := e.decoded()
	if err != nil {
		return nil, fmt.Errorf("as2: receipt: %w", err)
	}
	parts, err := splitMultipart(text, params["boundary"], l)
	if err != nil {
		return nil, fmt.Errorf("as2: receipt: %w", err)
	}
	found := false
	for _, raw := range parts {
		part, err := ReadEntity(raw, l)
		if err != nil {
			return nil, fmt.Errorf("as2: receipt: %w", err)
		}
		kind, _, err := part.mediaType()
		if err != nil {
			return nil, fmt.Errorf("as2: receipt: %w", err)
		}
		content, err := part.decoded()
		if err != nil {
			return nil, fmt.Errorf("as2: receipt: %w", err)
		}
		switch kind {
		case "text/plain":
			if m.Text == "" {
				m.Text = strings.TrimSpace(string(content))
			}
		case "message/disposition-notification":
			if found {
				return nil, fmt.Errorf("as2: receipt: two notifications in one: %w", ErrSyntax)
			}
			found = true
			if err := m.readFields(content, l); err != nil {
				return nil, err
			}
		}
	}
	if !found {
		return nil, fmt.Errorf("as2: a report without a disposition notification: %w", ErrNoMDN)
	}
	return m, nil
}

func (m *MDN) readFields(content []byte, l Limits) error {
	if !bytes.HasSuffix(content, []byte("\n")) {
		content = append(append([]byte{}, content...), "\r\n"...)
	}
	fields, err := ReadEntity(append(append([]byte{}, content...), "\r\n"...), l)
	if err != nil {
		return fmt.Errorf("as2: receipt: %w", err)
	}
	seen := map[string]bool{}
	for _, f := range fields.Header {
		name := strings.ToLower(f.Name)
		if seen[name] && (name == "disposition" || name == "original-message-id" || name == "received-content-mic") {
			return fmt.Errorf("as2: receipt: two fields %s: %w", f.Name, ErrSyntax)
		}
		seen[name] = true
	}
	m.OriginalID, m.Agent = fields.Get("Original-Message-ID"), fields.Get("Reporting-UA")
	if m.Disposition, err = parseDisposition(fields.Get("Disposition")); err != nil {
		return fmt.Errorf("as2: receipt: %w", err)
	}
	if text := fields.Get("Received-Content-MIC"); text != "" {
		if m.MIC, err = parseMIC(text); err != nil {
			return fmt.Errorf("as2: receipt: %w", err)
		}
	}
	return nil
}
