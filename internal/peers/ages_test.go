package peers

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
)

// visitTimes calls visit with each time.Time within the value.
func visitTimes(v reflect.Value, visit func(reflect.Value)) {
	switch {
	case v.Type() == reflect.TypeFor[time.Time]():
		visit(v)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			visitTimes(v.Field(i), visit)
		}
	case v.Kind() == reflect.Slice:
		for i := range v.Len() {
			visitTimes(v.Index(i), visit)
		}
	}
}

// filledMessage returns a message with one element in each slice and each time.Time set to at.
func filledMessage[T any](at time.Time) T {
	var m T
	fillFields(reflect.ValueOf(&m).Elem())
	visitTimes(reflect.ValueOf(&m).Elem(), func(v reflect.Value) { v.Set(reflect.ValueOf(at)) })
	return m
}

// fillFields gives each slice field one element, recursively.
func fillFields(v reflect.Value) {
	for i := range v.NumField() {
		f := v.Field(i)
		if f.Kind() == reflect.Slice {
			f.Set(reflect.MakeSlice(f.Type(), 1, 1))
			f = f.Index(0)
		}
		if f.Kind() == reflect.Struct && f.Type() != reflect.TypeFor[time.Time]() {
			fillFields(f)
		}
	}
}

// TestMessagesCarryAges guards against timestamps in messages between daemons, which the receiver would compare with its own clock.
// When the clocks differed, keys were dropped early, calls were refused, and forecasts of replicas were wrong by hours.
func TestMessagesCarryAges(t *testing.T) {
	sent := time.Now()
	received, at := sent.Add(6*time.Hour), sent.Add(-time.Minute)
	event := func(e cell.Event) any {
		return CellEvent{Event: e}.ToWire(sent).FromWire(received).Event
	}
	message := func(e idemp.Event) any {
		return KeyMessage{Message: e}.ToWire(sent).FromWire(received).Message
	}
	count := 0
	for _, m := range []any{
		event(filledMessage[cell.Demand](at)), event(filledMessage[cell.Use](at)), event(filledMessage[cell.PermitAsked](at)),
		filledMessage[ForecastArgs](at).ToWire(sent).FromWire(received), filledMessage[Directory](at).ToWire(sent).FromWire(received),
		message(filledMessage[idemp.Replicate](at)), message(filledMessage[idemp.ReplicateAck](at)), message(filledMessage[idemp.ReplicateRefused](at)),
		message(filledMessage[idemp.Transfer](at)), message(filledMessage[idemp.TransferAck](at)), message(filledMessage[idemp.Late](at)),
		message(filledMessage[idemp.LateAck](at)),
	} {
		visitTimes(reflect.ValueOf(m), func(v reflect.Value) {
			count++
			qt.Check(t, received.Sub(v.Interface().(time.Time)), qt.Equals, time.Minute, qt.Commentf("%T", m))
		})
	}
	qt.Assert(t, count, qt.Equals, 7)
}
