package peers

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/peers/golden"
	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
)

// messages are the messages between daemons, keyed by the names of their files in testdata/messages. Interfaces hold the type
// to fill.
//
// The files were made in a copy of commit 4e9e70c with package golden added. Each message was filled by Fill without skip; NAME.gob
// is its gob encoding, and NAME.fields contains the returned paths, one per line. Empty was called Nothing in that commit.
var messages = map[string]any{
	"Heartbeat":                   Heartbeat{},
	"RecordsArgs":                 RecordsArgs{},
	"RecordsReply":                RecordsReply{},
	"CellEvent.Demand":            CellEvent{Event: cell.Demand{}},
	"CellEvent.Use":               CellEvent{Event: cell.Use{}},
	"CellEvent.PermitAsked":       CellEvent{Event: cell.PermitAsked{}},
	"ForecastArgs":                ForecastArgs{},
	"Directory":                   Directory{},
	"KeyMessage.Replicate":        KeyMessage{Message: idemp.Replicate{}},
	"KeyMessage.ReplicateAck":     KeyMessage{Message: idemp.ReplicateAck{}},
	"KeyMessage.ReplicateRefused": KeyMessage{Message: idemp.ReplicateRefused{}},
	"KeyMessage.Transfer":         KeyMessage{Message: idemp.Transfer{}},
	"KeyMessage.TransferAck":      KeyMessage{Message: idemp.TransferAck{}},
	"KeyMessage.Late":             KeyMessage{Message: idemp.Late{}},
	"KeyMessage.LateAck":          KeyMessage{Message: idemp.LateAck{}},
	"BeginArgs":                   BeginArgs{},
	"BeginReply":                  BeginReply{},
	"ReleaseArgs":                 ReleaseArgs{},
	"ReleaseReply":                ReleaseReply{},
	"Empty":                       Empty{},
}

// TestMessagesOfEarlierBuild guards against a renamed or retyped field or registered type in messages between daemons. A daemon
// with the change loses the values that daemons of another build send, without an error, or refuses the message.
func TestMessagesOfEarlierBuild(t *testing.T) {
	for name, zero := range messages {
		t.Run(name, func(t *testing.T) { golden.Check(qt.New(t), "testdata/messages", name, zero) })
	}
}

// TestEachMessageFileIsChecked guards against a message file that no test reads because its entry in messages was deleted.
func TestEachMessageFileIsChecked(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("testdata/messages/*.gob")
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, len(messages))
}

// TestMethodsOfEarlierBuild guards against a renamed RPC method or service, which daemons of another build could not call. The
// methods are read from the source, because the type is not exported and package daemon imports this one.
func TestMethodsOfEarlierBuild(t *testing.T) {
	c := qt.New(t)
	c.Assert(ServiceName, qt.Equals, "Peer")
	files, err := filepath.Glob("../daemon/*.go")
	c.Assert(err, qt.IsNil)
	var methods []string
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		source, err := os.ReadFile(name)
		c.Assert(err, qt.IsNil)
		file, err := parser.ParseFile(token.NewFileSet(), name, source, 0)
		c.Assert(err, qt.IsNil)
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if !ok || f.Recv == nil || !f.Name.IsExported() {
				continue
			}
			receiver := f.Recv.List[0].Type
			if p, ok := receiver.(*ast.StarExpr); ok {
				receiver = p.X
			}
			if id, ok := receiver.(*ast.Ident); ok && id.Name == "peerService" {
				methods = append(methods, f.Name.Name)
			}
		}
	}
	slices.Sort(methods)
	c.Assert(methods, qt.DeepEquals, []string{"Begin", "CellEvent", "Directory", "Forecast", "Heartbeat", "Keys", "Records", "Release"})
}
