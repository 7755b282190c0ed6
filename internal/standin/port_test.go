package standin

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// Guards against a partner that is down, and whose address another one is given meanwhile.
func TestAPartnerThatIsDownKeepsItsAddress(t *testing.T) {
	p, err := NewHTTP(nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for range 3 {
		p.Refuse()
		if ln, err := net.Listen("tcp", p.Addr()); err == nil {
			ln.Close()
			t.Fatal("another one is given its address")
		}
		if _, err := net.Dial("tcp", p.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("a connection to it: %v", err)
		}
		if err := p.Accept(); err != nil {
			t.Fatal(err)
		}
		nc, err := net.Dial("tcp", p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		nc.Close()
	}
}
