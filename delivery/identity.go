package delivery

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"time"
)

// This file tells whether a message that is handed in under a known ID is the message of that ID. What goes on unchanged counts: class, tenant,
// destination, idempotency key and body. How long it may still be delivered does not, since a repeat has less time left.

// contentDigest stands for the content of a message whose body is not kept any more; 0 for one that is not known.
type contentDigest uint64

// matches tells whether two contents are equal, as far as both are known.
func (d contentDigest) matches(other contentDigest) bool { return d == 0 || other == 0 || d == other }

// Unkept is a message's body that is read without being kept. The body is written to it. It is used by one goroutine at a time.
type Unkept struct {
	// After is when its client may come again, if the message was not taken on before.
	After  time.Duration
	digest digester
}

// NewUnkept begins the body of a message, of which all else is known.
func NewUnkept(m Message, after time.Duration) *Unkept {
	u := &Unkept{After: after}
	u.digest.begin(m.Class, m.Tenant, m.Dest, m.Key)
	return u
}

// Write takes the next part of the body. It never fails.
func (u *Unkept) Write(part []byte) (int, error) { return u.digest.hash.Write(part) }

// digester makes digests. The zero value is ready; it is used by one goroutine at a time.
type digester struct {
	hash hash.Hash
	head []byte // reused
	sum  []byte // reused
}

// of is the digest of a message's content.
func (d *digester) of(class, tenant, dest int, key string, body []byte) contentDigest {
	d.begin(class, tenant, dest, key)
	d.hash.Write(body) // never fails
	return d.end()
}

// begin begins a digest. The body is written to the hash next.
func (d *digester) begin(class, tenant, dest int, key string) {
	if d.hash == nil {
		d.hash = sha256.New()
	}
	d.head = d.head[:0]
	for _, number := range [...]int{class, tenant, dest, len(key)} {
		d.head = binary.AppendUvarint(d.head, uint64(number))
	}
	d.head = append(d.head, key...)
	d.hash.Reset()
	d.hash.Write(d.head) // never fails
}

// end is the digest of what was written since it was begun.
func (d *digester) end() contentDigest {
	d.sum = d.hash.Sum(d.sum[:0])
	return max(contentDigest(binary.LittleEndian.Uint64(d.sum)), 1)
}

// ofPast is the digest of a message that the journal has.
func (d *digester) ofPast(p *past) contentDigest {
	if p.ended != nil {
		return p.ended.content
	}
	return d.of(p.class, p.tenant, p.dest, p.key, p.body)
}

// ofMessage is the digest of a message that is handed in.
func (d *digester) ofMessage(m Message) contentDigest {
	if m.Unkept != nil {
		return m.Unkept.digest.end()
	}
	return d.of(m.Class, m.Tenant, m.Dest, m.Key, m.Body)
}

// isMessage tells whether a message that is handed in is the one that the journal has under its ID.
func (n *Engine) isMessage(p *past, m Message) bool {
	if p.ended != nil || m.Unkept != nil {
		return n.digester.ofPast(p).matches(n.digester.ofMessage(m))
	}
	return p.class == m.Class && p.tenant == m.Tenant && p.dest == m.Dest && p.key == m.Key && bytes.Equal(p.body, m.Body)
}

// isSame tells whether two messages that journals have are the same one.
func (n *Engine) isSame(p, q *past) bool {
	switch {
	case p.ended != nil || q.ended != nil:
		return n.digester.ofPast(p).matches(n.digester.ofPast(q))
	case p.again() || q.again():
		return true // a further life takes the place of the one before
	}
	return n.isMessage(p, Message{Key: q.key, Body: q.body, Class: q.class, Dest: q.dest, Tenant: q.tenant})
}

// takesAnothersID tells whether a message that is handed in has the ID of another one that the engine has, or that ended a few seconds ago. Fronts
// whose IDs are not new may use an ID again once its message has ended.
func (n *Engine) takesAnothersID(a arrival, p *past) bool {
	if p != nil {
		return !n.isMessage(p, a.Message)
	}
	if !a.front.NewIDs || a.life != nil {
		return false
	}
	end, ended := n.ended.look(ref(a.front.Name, a.ID), n.now())
	return ended && !end.content.matches(n.digester.ofMessage(a.Message))
}

// refuseAnothersID answers a message whose ID is that of another one. Nothing of it runs. Where IDs are new its client may hand it in again, under
// another ID.
func (n *Engine) refuseAnothersID(a arrival) {
	if a.front.NewIDs {
		a.answer(n.turnAway(a, TurnedByID))
		return
	}
	n.log.Info("a message has the id of another one", "front", a.front.Name, "message", a.ID, "class", a.Class, "destination", a.Dest)
	a.answer(Answer{Failed: "another message has this ID"})
}
