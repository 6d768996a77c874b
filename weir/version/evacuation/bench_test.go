package evacuation_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
)

// BenchmarkKeepAlive compares the making of a keep-alive without and with the age of the evacuations, and the confirmation by
// an answer of the store: all that an idle entry does for evacuations while nothing changes.
func BenchmarkKeepAlive(b *testing.B) {
	var c evacuation.Current

	c.Update(evacuation.NewValue(3, []string{"a"}))
	c.Confirm(time.Hour)

	encode := func(b *testing.B, age func() uint32) {
		b.Helper()
		b.ReportAllocs()

		size := 0

		for b.Loop() {
			text, err := proto.Marshal(wire.Frame_builder{KeepAlive: wire.KeepAlive_builder{
				RoutesVersion: 1000, Sidecars: 70, EvacuationsAge: age(),
			}.Build()}.Build())
			if err != nil {
				b.Fatal(err)
			}

			size = len(text)
		}

		b.ReportMetric(float64(size), "bytes/frame")
	}

	b.Run("without", func(b *testing.B) { encode(b, func() uint32 { return 0 }) })
	b.Run("with", func(b *testing.B) { encode(b, func() uint32 { return c.WireAge(time.Hour + time.Second) }) })
	b.Run("confirm", func(b *testing.B) {
		for at := time.Hour; b.Loop(); at++ {
			c.Confirm(at)
		}
	})
}
