package delivery

import (
	"testing"
	"time"
)

// Guards against a call to the process that an endpoint's address and id had before, when another destination has them now: a call that has not been
// begun is not, and the waits that the one before asked for do not bind.
func TestAnEndpointOfAnotherDestinationIsAnotherOne(t *testing.T) {
	n := bare(t, newCarrier(pass), at(t, "e", 7))
	before := n.eps["e"]
	before.Wait(time.Now().Add(time.Hour))
	moved := at(t, "e", 8)
	if _, err := n.listed(List{Members: []Member{moved}}); err != nil {
		t.Fatal(err)
	}
	after := n.eps["e"]
	if !before.Gone() {
		t.Error("calls to the one before may still begin")
	}
	if after == before || after.ClosedTo(time.Now()) {
		t.Error("the new one is bound by a wait of the one before")
	}
	if _, err := n.listed(List{Members: []Member{moved}}); err != nil || n.eps["e"] != after {
		t.Errorf("listed again it is another one, %v", err)
	}
}
