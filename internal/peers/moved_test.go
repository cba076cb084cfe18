package peers

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
)

// instants calls visit with each instant within the value.
func instants(v reflect.Value, visit func(reflect.Value)) {
	switch {
	case v.Type() == reflect.TypeFor[time.Time]():
		visit(v)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			instants(v.Field(i), visit)
		}
	case v.Kind() == reflect.Slice:
		for i := range v.Len() {
			instants(v.Index(i), visit)
		}
	}
}

// filled returns a message of the type with one element in each list and the instant in each place for one.
func filled[T any](at time.Time) T {
	var m T
	fill(reflect.ValueOf(&m).Elem())
	instants(reflect.ValueOf(&m).Elem(), func(v reflect.Value) { v.Set(reflect.ValueOf(at)) })
	return m
}

func fill(v reflect.Value) {
	for i := range v.NumField() {
		f := v.Field(i)
		if f.Kind() == reflect.Slice {
			f.Set(reflect.MakeSlice(f.Type(), 1, 1))
			f = f.Index(0)
		}
		if f.Kind() == reflect.Struct && f.Type() != reflect.TypeFor[time.Time]() {
			fill(f)
		}
	}
}

// Guards against an instant in a message between daemons that the receiver would compare with its own clock: keys were
// forgotten early, calls refused and replicas predicted hours off when clocks differed.
func TestMessagesCarryAges(t *testing.T) {
	sent := time.Now()
	received, at := sent.Add(6*time.Hour), sent.Add(-time.Minute)
	event := func(e cell.Event) any {
		return CellEvent{Event: e}.Outward(sent).Inward(received).Event
	}
	message := func(e idemp.Event) any {
		return KeyMessage{Message: e}.Outward(sent).Inward(received).Message
	}
	count := 0
	for _, m := range []any{
		event(filled[cell.Demand](at)), event(filled[cell.Use](at)), event(filled[cell.PermitAsked](at)),
		filled[ForecastArgs](at).Outward(sent).Inward(received), filled[Directory](at).Outward(sent).Inward(received),
		message(filled[idemp.Replicate](at)), message(filled[idemp.ReplicateAck](at)), message(filled[idemp.ReplicateRefused](at)),
		message(filled[idemp.Transfer](at)), message(filled[idemp.TransferAck](at)), message(filled[idemp.Late](at)),
		message(filled[idemp.LateAck](at)),
	} {
		instants(reflect.ValueOf(m), func(v reflect.Value) {
			count++
			qt.Check(t, received.Sub(v.Interface().(time.Time)), qt.Equals, time.Minute, qt.Commentf("%T", m))
		})
	}
	qt.Assert(t, count, qt.Equals, 7)
}
