package node

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/figwick/figwick/internal/peer/wire"
)

// BenchmarkDirectoryBytes reports the sizes of directory messages, frames
// included, by the number of a service's sidecars.
func BenchmarkDirectoryBytes(b *testing.B) {
	for _, sidecars := range []int{5, 10, 25, 50} {
		b.Run(fmt.Sprint(sidecars), func(b *testing.B) {
			whole := &wire.DirectoryReply{Found: []uint64{1 << 60}}
			for i := range sidecars {
				whole.Records = append(whole.Records, &wire.ServiceRecord{
					Service: "service-1234", Node: fmt.Sprintf("node-%04d", i), Address: "10.12.34.56:7401",
					Zone: "region-1-zone-a", Slots: 24, AgeMs: 1234, Alive: 8, InService: 8,
				})
			}
			put := &wire.Directory{From: "node-0001", Puts: []*wire.ServiceRecord{{
				Service: "service-1234", Node: "node-0001", Address: "10.12.34.56:7401", Zone: "region-1-zone-a", Slots: 24,
			}}}
			for i := range 8 {
				put.Puts[0].Backends = append(put.Puts[0].Backends, &wire.BackendMark{
					Id: fmt.Sprintf("service-1234-%02d", i), Incarnation: 1_796_365_870_640_246, Standing: 1,
				})
			}
			get := &wire.Directory{From: "node-0001", Gets: []*wire.Get{{Service: "service-1234", Digest: 1 << 60}}}
			touch := &wire.Directory{From: "node-0001", Touches: []*wire.Touch{{Service: "service-1234", Digest: 1 << 60}}}
			same := &wire.DirectoryReply{Found: []uint64{1 << 60}}
			for name, m := range map[string]proto.Message{
				"B-whole-reply": whole, "B-put": put, "B-get": get, "B-touch": touch, "B-unchanged-reply": same,
			} {
				b.ReportMetric(float64(proto.Size(m)+frameOverheadBytes), name)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
