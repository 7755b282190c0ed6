package delivery

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"hash/maphash"
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
	After time.Duration // when its client may come again, if the message was not taken on before
	hash  maphash.Hash
}

// NewUnkept begins a body.
func NewUnkept(after time.Duration) *Unkept {
	u := &Unkept{After: after}
	u.hash.SetSeed(nameSeed)
	return u
}

// Write takes the next part of the body. It never fails.
func (u *Unkept) Write(part []byte) (int, error) { return u.hash.Write(part) }

// isBody tells whether it is a body that was kept.
func (u *Unkept) isBody(body []byte) bool { return u.hash.Sum64() == maphash.Bytes(nameSeed, body) }

// digester makes digests. The zero value is ready; it is used by one goroutine at a time.
type digester struct {
	hash hash.Hash
	head []byte // reused
	sum  []byte // reused
}

// of is the digest of a message's content.
func (d *digester) of(class, tenant, dest int, key string, body []byte) contentDigest {
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
	d.hash.Write(body)
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
		return 0
	}
	return d.of(m.Class, m.Tenant, m.Dest, m.Key, m.Body)
}

// isMessage tells whether a message that is handed in is the one that the journal has under its ID.
func (n *Engine) isMessage(p *past, m Message) bool {
	if p.ended != nil {
		return p.ended.content.matches(n.digester.ofMessage(m))
	}
	return isOpenMessage(p, m)
}

// isOpenMessage is isMessage for one that has not ended.
func isOpenMessage(p *past, m Message) bool {
	same := p.class == m.Class && p.tenant == m.Tenant && p.dest == m.Dest && p.key == m.Key
	if m.Unkept != nil {
		return same && m.Unkept.isBody(p.body)
	}
	return same && bytes.Equal(p.body, m.Body)
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
