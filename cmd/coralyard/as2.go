package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"starlingusher/as2"
	"starlingusher/as2/carrier"
	"starlingusher/as2/gateway"
	"starlingusher/as2/ledger"
	"starlingusher/as2/setup"
	"starlingusher/daemon"
	"starlingusher/delivery"
	"starlingusher/undelivered/recovery"
)

// as2Variable names the operators' file of AS2 partners to the node.
const as2Variable = "CORALYARD_AS2"

// openAS2 opens the AS2 side if the operators have named a file for it.
// What a late receipt proves to be delivered closes its entry among the undelivered.
func openAS2(cfg daemon.Config, log *slog.Logger, again *recovery.Service) (*gateway.Gateway, error) {
	file := os.Getenv(as2Variable)
	if file == "" {
		return nil, nil
	}
	o := gateway.Options{File: file, State: cfg.State, Classes: cfg.Names.Classes, DialTimeout: cfg.Settings.DialTimeout, Log: log, MemoryMB: cfg.Limits.MemoryMB}
	if again != nil {
		o.Late = func(r delivery.Ref) {
			if err := again.Delivered([]delivery.Ref{r}); err != nil {
				log.Error("a late receipt is not noted", "id", r.ID, "err", err)
			}
		}
	}
	return gateway.Open(o)
}

type as2Command struct {
	Check  as2Check  `cmd:"" help:"Check a file of AS2 partners and show what it sets up."`
	Send   as2Send   `cmd:"" help:"Send a document to a partner once, and show what its receipt proves."`
	Verify as2Verify `cmd:"" help:"Read a message or a receipt as it was posted, and show what it is."`
}

type as2Check struct {
	File string `arg:"" help:"The file of partners."`
}

// Run checks.
func (c *as2Check) Run() error {
	f, err := setup.Load(c.File, setup.Options{Now: time.Now()})
	if err != nil {
		return err
	}
	fmt.Printf("we are %q, certificate %x until %s", f.Self, f.Key.Cert.SerialNumber, f.Key.Cert.NotAfter.UTC().Format(time.DateOnly))
	if len(f.Keys) > 1 {
		fmt.Printf(", next %x from %s", f.Keys[1].Cert.SerialNumber, f.Keys[1].Cert.NotBefore.UTC().Format(time.DateOnly))
	}
	if f.Listen != "" {
		fmt.Printf(", listening on %s", f.Listen)
	}
	fmt.Println()
	for _, p := range f.Partners {
		fmt.Printf("\npartner %q (line %d)\n", p.ID, p.Line)
		for i, cert := range p.Certs {
			fmt.Printf("  certificate %d  %x, %q, %s to %s\n", i+1, cert.SerialNumber, cert.Subject.CommonName,
				cert.NotBefore.UTC().Format(time.DateOnly), cert.NotAfter.UTC().Format(time.DateOnly))
		}
		if p.Destination >= 0 {
			var how []string
			switch p.Compress {
			case as2.CompressFirst:
				how = append(how, "compressed")
			}
			if p.Sign {
				how = append(how, "signed with "+string(p.Digest))
			}
			if p.Compress == as2.SignFirst {
				how = append(how, "compressed")
			}
			if p.Encrypt != nil {
				how = append(how, "encrypted with "+string(p.Cipher))
			}
			if len(how) == 0 {
				how = []string{"plain"}
			}
			receipt := "a signed receipt in the answer"
			if p.Receipt.AsyncTo != "" {
				receipt = "a signed receipt to " + p.Receipt.AsyncTo
			}
			fmt.Printf("  send           destination %d, path %s, %s; %s\n", p.Destination, p.Path, strings.Join(how, ", "), receipt)
		}
		if p.Class != "" {
			fmt.Printf("  take           as %s for destination %d, within %v\n", p.Class, p.ToDestination, p.Life)
		}
	}
	for _, w := range f.Warnings {
		fmt.Println("\nwarning:", w)
	}
	return nil
}

func partnerOf(f *setup.File, id string) (*setup.Partner, error) {
	for i := range f.Partners {
		if f.Partners[i].ID == id {
			return &f.Partners[i], nil
		}
	}
	return nil, fmt.Errorf("as2: the file has no partner %q", id)
}

type as2Send struct {
	File     string        `arg:"" help:"The file of partners."`
	Partner  string        `arg:"" help:"The partner's AS2 name."`
	Address  string        `arg:"" help:"Its host and port."`
	Document string        `arg:"" help:"The document."`
	Within   time.Duration `default:"30s" help:"How long to wait for the receipt."`
}

// Run sends.
func (c *as2Send) Run() error {
	f, err := setup.Load(c.File, setup.Options{Now: time.Now()})
	if err != nil {
		return err
	}
	p, err := partnerOf(f, c.Partner)
	if err != nil {
		return err
	}
	if p.Destination < 0 {
		return fmt.Errorf("as2: partner %q has no send in the file", p.ID)
	}
	body, err := os.ReadFile(c.Document)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "coralyard-as2-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	book, err := ledger.Open(filepath.Join(dir, "as2.db"))
	if err != nil {
		return err
	}
	defer book.Close()
	all := gateway.Links(f)
	link := all[p.Destination]
	link.Receipt.AsyncTo = "" // nobody listens here
	all[p.Destination] = link
	k := carrier.New(carrier.Options{Self: f.Self, Key: f.Key, Links: all, Ledger: book, Limits: as2.DefaultLimits()})
	now := time.Now()
	ref := delivery.Ref{Front: "as2 send", ID: fmt.Sprint(rand.Uint64()), Deadline: now}
	r := k.Attempt(context.Background(), delivery.Attempt{ID: ref.ID, Ref: ref, Dest: p.Destination, Body: body,
		Endpoint: delivery.NewEndpoint("partner", c.Address), NotPast: now.Add(c.Within)})
	fmt.Println("message", k.MessageID(ref))
	switch proof, _ := r.Reply.(ledger.Proof); {
	case proof.Proof != 0:
		fmt.Printf("%s: %s\n", proof.Proof, proof.Why)
		if proof.Proof != as2.Delivered {
			return errors.New("as2: the partner has not taken it")
		}
		return nil
	case r.NotRun:
		return fmt.Errorf("as2: it was not sent: %w", r.Err)
	}
	return fmt.Errorf("as2: it may have been taken, and there is no proof: %w", r.Err)
}

type as2Verify struct {
	File    string `arg:"" help:"The file of partners."`
	Partner string `arg:"" help:"The AS2 name of the partner that it is from."`
	Message string `arg:"" help:"The message or receipt: the HTTP header, an empty line, and the body."`
	Out     string `help:"Write the content there." placeholder:"FILE"`
}

// Run verifies.
func (c *as2Verify) Run() error {
	f, err := setup.Load(c.File, setup.Options{Now: time.Now()})
	if err != nil {
		return err
	}
	p, err := partnerOf(f, c.Partner)
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(c.Message)
	if err != nil {
		return err
	}
	e, err := as2.ReadEntity(raw, as2.DefaultLimits())
	if err != nil {
		return err
	}
	m, err := as2.ReadMDN(e.Header, e.Body, p.Partner, as2.DefaultLimits())
	if err == nil {
		fmt.Printf("receipt for %s\nsigned: %v\ndisposition: %s\nMIC: %s\ntext: %s\n", m.OriginalID, m.Signed, m.Disposition, m.MIC, m.Text)
		return nil
	}
	if !errors.Is(err, as2.ErrNoMDN) && !strings.HasPrefix(strings.ToLower(e.Get("Content-Type")), "application/") {
		return err
	}
	o, err := as2.Open(e.Header, e.Body, p.Partner, f.Keys, "", as2.DefaultLimits())
	if err != nil {
		return err
	}
	fmt.Printf("message %s\nsigned: %v, encrypted: %v, compressed: %v\ncontent: %s, %d bytes\nMIC: %s\n", e.Get("Message-ID"), o.Signed,
		o.Encrypted, o.Compressed, o.ContentType, len(o.Body), o.MIC)
	if c.Out != "" {
		return os.WriteFile(c.Out, o.Body, 0o600)
	}
	return nil
}
