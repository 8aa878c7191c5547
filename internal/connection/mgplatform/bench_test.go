package mgplatform

import (
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkReadList parses a list, as each process does for each list that is
// newer than its own.
func BenchmarkReadList(b *testing.B) {
	for _, count := range []int{60, 150, 3000} {
		list := VMList{
			Version: 1,
		}
		for i := range count {
			name := fmt.Sprintf("i-%010x", i*7919)
			list.VMs = append(list.VMs, VM{
				Name:     name,
				Kind:     UpstreamKind,
				Addr:     fmt.Sprintf("10.1.%d.%d:8589", i/250, i%250),
				Zone:     "hall-1",
				Region:   "south",
				Upstream: name,
				Services: []string{"reports"},
				State:    Live,
			})
		}
		data, err := json.Marshal(list)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(data)))
			for range b.N {
				if _, err := ReadList(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
