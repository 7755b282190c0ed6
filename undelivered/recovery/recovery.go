// Package recovery gives undelivered messages a second life that is as safe as the first. A Service is an engine's
// keeper: what ends undelivered goes to the store. By rule, or by a person's word, it hands messages back to the engine
// as further lives with their past, so that package choice decides on each as it does on all others. A person works
// through a Desk, in the process or over the service's socket.
//
// What may be sent again and when is decided by package rules; here is the I/O around it.
package recovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/undelivered"
	"starlingusher/undelivered/rules"
)

const (
	storeName  = "undelivered.db"
	socketName = "undelivered.sock"
	maxSpoilt  = 9 // store files that can't be used, before no further one is made
	life       = 30 * time.Second
)

// Options are a service's.
type Options struct {
	Folder string // the node's state folder; store and socket stand there
	Rules  string // the operators' file
	// Settings are the node's, and Names its classes by their numbers.
	Settings choice.Settings
	Names    []string
	Log      *slog.Logger     // nil for none
	Now      func() time.Time // nil for the clock
}

func (o *Options) complete() {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}

// classes are the node's as the rules see them.
func (o *Options) classes() []rules.Class {
	all := make([]rules.Class, 0, len(o.Names))
	for i, c := range o.Settings.Classes {
		if i < len(o.Names) {
			all = append(all, rules.Class{Name: o.Names[i], Effect: c.Effect, Window: c.Window, Ordered: c.Ordered})
		}
	}
	return all
}

// load reads the operators' file.
func (o *Options) load() (*rules.Set, error) {
	text, err := os.ReadFile(o.Rules)
	if err != nil {
		return nil, fmt.Errorf("undelivered: rules: %w", err)
	}
	return rules.Parse(o.Rules, text, o.classes())
}

// openStore opens the folder's store. One that can't be used is left as it is, and the next free name is taken, so that
// what ends from now on has a place.
func openStore(o *Options, set *rules.Set, readOnly bool) (*undelivered.Store, error) {
	options := undelivered.Options{Classes: o.classes(), Now: o.Now, ReadOnly: readOnly}
	if set != nil {
		options.MaxBytes = set.MaxBytes
	}
	path := filepath.Join(o.Folder, storeName)
	for i := 1; ; i++ {
		s, err := undelivered.Open(path, options)
		switch {
		case err == nil:
			return s, nil
		case errors.Is(err, undelivered.ErrInUse), errors.Is(err, os.ErrPermission), errors.Is(err, os.ErrNotExist), i > maxSpoilt:
			return nil, err
		}
		next := fmt.Sprintf("%s.%d", filepath.Join(o.Folder, storeName), i)
		o.Log.Error("a store of undelivered messages can't be used and is left as it is", "err", err, "instead", next)
		path = next
	}
}

// Service keeps and resends. Its Keep and Delivered are for the engine; the other methods may be called by many
// goroutines at a time.
type Service struct {
	o      Options
	store  *undelivered.Store
	desk   *Desk
	engine *delivery.Engine
	kick   chan struct{} // holds a token while there may be something to do

	mu    sync.Mutex
	set   *rules.Set
	dirty bool           // the store may hold more to send than the last scan has found
	lives map[string]int // destinations of the further lives that are under way, by message
	out   map[int]int    // their number by destination
	// Destinations where none is sent again before that time.
	blocked map[int]time.Time

	writing sync.Mutex
	unkept  []unkept // what the store could not take, in order; written before anything else
	room    int      // bytes of bodies that may still wait there

	// Of Run only.
	queue   map[uint64]*rules.Entry // found by the last scan and not yet sent
	last    map[int]time.Time       // when a resend last went to each destination
	rests   map[uint64]time.Time    // entries that the engine did not take, and until when they are left alone
	scanned time.Time
	took    time.Duration // of the last scan
	rescan  time.Time     // when an entry that the last scan passed over falls due; zero for none
	expired time.Time     // when old entries were last evicted
}

// Open opens the store and reads the rules. A rules file with any problem is an error. Start and Run have to be called
// next, or Close.
func Open(o Options) (*Service, error) {
	o.complete()
	set, err := o.load()
	if err != nil {
		return nil, err
	}
	store, err := openStore(&o, set, false)
	if err != nil {
		return nil, err
	}
	s := &Service{
		o: o, store: store, set: set, kick: make(chan struct{}, 1), lives: map[string]int{}, out: map[int]int{}, dirty: true,
		room: maxUnkeptBytes, queue: map[uint64]*rules.Entry{}, last: map[int]time.Time{}, rests: map[uint64]time.Time{}, blocked: map[int]time.Time{},
	}
	s.desk = &Desk{o: o, store: store, rules: s.rules, changed: s.more}
	return s, nil
}

// Close gives the store back.
func (s *Service) Close() error { return s.store.Close() }

// Desk is where a person looks at entries and decides.
func (s *Service) Desk() *Desk { return s.desk }

// Reload reads the rules again, as a whole. A file with any problem changes nothing.
func (s *Service) Reload() error {
	set, err := s.o.load()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.set = set
	s.mu.Unlock()
	s.more()
	return nil
}

func (s *Service) rules() *rules.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

// more says that there may be more to send.
func (s *Service) more() {
	s.mu.Lock()
	s.dirty = true
	s.mu.Unlock()
	s.wake()
}

func (s *Service) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Start brings the store in line with the engine that the service is the keeper of, before that is run.
func (s *Service) Start(e *delivery.Engine) error {
	s.engine = e
	var first, again []undelivered.Ref
	for _, o := range e.Owed() {
		if o.Again {
			again = append(again, undelivered.Ref(o.Ref))
		} else {
			first = append(first, undelivered.Ref(o.Ref))
		}
	}
	changed, err := s.store.Reconcile(first, again)
	if err != nil {
		return err
	}
	if changed > 0 {
		s.o.Log.Info("undelivered messages brought in line with the journal", "changed", changed)
	}
	for _, r := range again {
		dest := -1
		if e, err := s.store.Find(r); err == nil {
			dest = e.Dest
		}
		s.begin(r, dest)
	}
	return nil
}

func name(r undelivered.Ref) string {
	return fmt.Sprintf("%s\x00%s\x00%d", r.Front, r.ID, r.Deadline.UnixMicro())
}

// begin counts a further life, and over counts it out.
func (s *Service) begin(r undelivered.Ref, dest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives[name(r)] = dest
	s.out[dest]++
}

func (s *Service) over(r undelivered.Ref) {
	s.mu.Lock()
	if dest, ok := s.lives[name(r)]; ok {
		delete(s.lives, name(r))
		if s.out[dest]--; s.out[dest] == 0 {
			delete(s.out, dest)
		}
	}
	s.mu.Unlock()
	s.wake()
}

// Keep is delivery.Keeper's.
func (s *Service) Keep(lost []delivery.Lost) error {
	entries, bodies := make([]undelivered.Entry, 0, len(lost)), make([][]byte, 0, len(lost))
	for i := range lost {
		entries, bodies = append(entries, s.entry(&lost[i])), append(bodies, lost[i].Body)
	}
	all := make([]unkept, 0, len(lost))
	for i := range entries {
		all = append(all, unkept{entry: &entries[i], body: bodies[i]})
	}
	err := s.writeAll(all, func() error { return s.store.Keep(entries, bodies) })
	for i := range entries {
		if lost[i].Again {
			if len(lost[i].Tried) == 0 {
				s.block(lost[i].Dest, s.o.Now().Add(unsentNap))
			}
			s.over(entries[i].Ref())
		}
	}
	s.more()
	return err
}

// Delivered is delivery.Keeper's.
func (s *Service) Delivered(refs []delivery.Ref) error {
	all := make([]undelivered.Ref, 0, len(refs))
	for _, r := range refs {
		all = append(all, undelivered.Ref(r))
	}
	news := make([]unkept, 0, len(refs))
	for _, r := range all {
		news = append(news, unkept{delivered: r})
	}
	err := s.writeAll(news, func() error { return s.store.Deliver(all...) })
	for _, r := range all {
		s.over(r)
	}
	return err
}

// unkept is news that the store has yet to take: an entry, or a delivery.
type unkept struct {
	entry     *undelivered.Entry
	body      []byte
	delivered undelivered.Ref
}

const (
	maxUnkept      = 10_000
	maxUnkeptBytes = 16 << 20
)

// writeAll has the store take news at once, or what it can of them one by one.
func (s *Service) writeAll(news []unkept, atOnce func() error) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.rewrite() == nil && atOnce() == nil {
		return nil
	}
	var err error
	for _, u := range news {
		err = errors.Join(err, s.write(u))
	}
	return err
}

// write has the store take news, or holds on to it until it does: a full disk may have room again. What the store
// refuses for its budget is not held.
func (s *Service) write(u unkept) error {
	var err error
	if len(s.unkept) == 0 {
		if err = s.put(u); err == nil {
			return nil
		}
	}
	switch {
	case errors.Is(err, undelivered.ErrFull):
		return fmt.Errorf("message %q: %w", u.entry.ID, err)
	case len(s.unkept) >= maxUnkept, len(u.body) > s.room:
		return errors.Join(err, errors.New("too many wait in memory for the store to be written"))
	}
	if err != nil {
		s.o.Log.Error("the store of undelivered messages can't be written; they wait in memory", "err", err)
	}
	s.unkept = append(s.unkept, u)
	s.room -= len(u.body)
	return nil
}

func (s *Service) put(u unkept) error {
	if u.entry == nil {
		return s.store.Deliver(u.delivered)
	}
	return s.store.Keep([]undelivered.Entry{*u.entry}, [][]byte{u.body})
}

// rewrite has the store take what it could not.
func (s *Service) rewrite() error {
	for len(s.unkept) > 0 {
		switch err := s.put(s.unkept[0]); {
		case errors.Is(err, undelivered.ErrFull):
			s.o.Log.Error("an undelivered message is not kept", "id", s.unkept[0].entry.ID, "err", err)
		case err != nil:
			return err
		}
		s.room += len(s.unkept[0].body)
		if s.unkept = s.unkept[1:]; len(s.unkept) == 0 {
			s.unkept = nil
			s.o.Log.Info("the store of undelivered messages is written again")
		}
	}
	return nil
}

// entry is a message that was lost as the store keeps it.
func (s *Service) entry(l *delivery.Lost) undelivered.Entry {
	e := undelivered.Entry{
		Front: l.Front, ID: l.ID, Key: l.Key, Class: fmt.Sprint(l.Class), Tenant: l.Tenant, Dest: l.Dest, Deadline: l.Deadline,
		Reason: reason(l, s.o.Settings.MaxAttempts), Ended: l.Ended, Wait: l.Wait,
	}
	if l.Class < len(s.o.Names) {
		e.Class = s.o.Names[l.Class]
	}
	for _, t := range l.Tried {
		a := rules.Attempt{At: t.At, Endpoint: t.Endpoint, Zone: t.Zone, NotRun: t.NotRun, Err: t.Err}
		if t.Known {
			a.Outcome = outcomes[t.Outcome]
		}
		e.Attempts = append(e.Attempts, a)
	}
	return e
}

var outcomes = map[choice.Outcome]string{
	choice.Pass: "delivered", choice.Fault: "error", choice.NoRoom: "turned-away", choice.TooSlow: "no-answer",
	choice.NoRoute: "no-connection", choice.Cut: "broken-off", choice.Undone: "called-off", choice.Stale: "not-sent",
}

// reason tells why a message ended undelivered.
func reason(l *delivery.Lost, maxAttempts int) rules.Reason {
	switch {
	case l.State == delivery.Refused, slices.ContainsFunc(l.Tried, func(t delivery.Tried) bool { return t.MayBeOver }):
		return rules.Refused
	case !l.Ended.Before(l.Due.Add(-endMargin)):
		return rules.OutOfTime
	case maxAttempts > 0 && len(l.Tried) >= maxAttempts:
		return rules.OutOfTries
	}
	for _, t := range l.Tried {
		if !t.Known && !t.NotRun {
			return rules.Interrupted
		}
	}
	return rules.MayHaveRun
}

// endMargin is how long before its deadline a message may end for want of time.
const endMargin = 50 * time.Millisecond

// Run resends and serves the socket until ctx ends. Start comes before it.
func (s *Service) Run(ctx context.Context) {
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := s.desk.Serve(ctx); err != nil {
			s.o.Log.Error("the command line has no way to undelivered messages", "err", err)
		}
	})
	defer serving.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.kick:
		case <-timer.C:
		}
		timer.Reset(s.round())
	}
}
