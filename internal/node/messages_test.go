package node

import (
	"path/filepath"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/peers/golden"
)

// messages are the messages between hosts, keyed by the names of their files in testdata/messages. The files have the names that
// the types had in commit 4e9e70c.
//
// The files were made in a copy of that commit with package golden added. Each message was filled by Fill without skip; NAME.gob
// is its gob encoding, and NAME.fields contains the returned paths, one per line.
var messages = map[string]any{
	"Beat":      Heartbeat{},
	"Placed":    PlacementUpdate{},
	"WantArgs":  WantArgs{},
	"WantReply": WantReply{},
	"Empty":     struct{}{},

	// The files of these were made in the same way in the commit that added the method Credit.
	"CreditArgs":  CreditArgs{},
	"CreditReply": CreditReply{},

	// The files of these were made in the same way in the commit that added the method Permit.
	"PermitArgs":  PermitArgs{},
	"PermitReply": PermitReply{},
}

// TestMessagesOfEarlierBuild guards against a renamed or retyped field in messages between hosts. A host with the change loses the
// values that hosts of another build send, without an error, or refuses the message.
func TestMessagesOfEarlierBuild(t *testing.T) {
	t.Parallel()
	for name, zero := range messages {
		t.Run(name, func(t *testing.T) { golden.Check(qt.New(t), "testdata/messages", name, zero) })
	}
}

// TestEachMessageFileIsChecked guards against a message file that no test reads because its entry in messages was deleted.
func TestEachMessageFileIsChecked(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	files, err := filepath.Glob("testdata/messages/*.gob")
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, len(messages))
}

// TestMethodsOfEarlierBuild guards against a renamed RPC method, which hosts of another build could not call, and against an
// argument or reply that has no message file.
func TestMethodsOfEarlierBuild(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	checked := make(map[reflect.Type]bool)
	for _, zero := range messages {
		checked[reflect.TypeOf(zero)] = true
	}
	service := reflect.TypeFor[*peerService]()
	var methods []string
	for i := range service.NumMethod() {
		m := service.Method(i)
		methods = append(methods, m.Name)
		for _, position := range []int{1, 2} {
			c.Check(checked[m.Type.In(position).Elem()], qt.IsTrue, qt.Commentf("parameter %d of %s", position, m.Name))
		}
	}
	c.Assert(methods, qt.DeepEquals, []string{"Beat", "Credit", "Permit", "Placed", "Want"})
}
