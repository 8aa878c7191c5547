package mgnode

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// newRetryCluster returns entries that know one another.
func newRetryCluster(count int) []*Node {
	list := mgplatform.VMList{
		Version: 1,
	}
	for i := range count {
		list.VMs = append(list.VMs, mgplatform.VM{
			Name: fmt.Sprint("entry-", i),
			Kind: mgplatform.EntryKind,
			Addr: clusterAddr(i),
		})
	}
	var nodes []*Node
	for _, vm := range list.VMs {
		n := &Node{
			settings: mgsettings.Process{
				Name: vm.Name,
			},
			members: mgmember.New(vm.Name),
		}
		n.members.AdoptList(n.clock.Now(), list)
		nodes = append(nodes, n)
	}
	return nodes
}

// Guards against entries that together retry more often than a service allows: each takes the
// same share whatever its rank, or keeps what it earned long ago.
func TestEntriesExceedAllowedRetries(t *testing.T) {
	const allowed = 56
	Convey("Entries that share 56 retries", t, func() {
		for _, count := range []int{1, 5, 56, 300} {
			Convey(fmt.Sprintf("hold at most these, also after a calm minute, with %d entries", count), func() {
				var initial, earned int
				synctest.Test(t, func(t *testing.T) {
					budgets := make([]mgretry.Budgets, count)
					spendAll := func() (spent int) {
						for i := range budgets {
							for budgets[i].Of("books").Spend() {
								spent++
							}
						}
						return spent
					}
					for i, n := range newRetryCluster(count) {
						go n.limitRetries(t.Context(), allowed, &budgets[i])
					}
					synctest.Wait()
					initial = spendAll()
					for i := range budgets {
						for range 1000 {
							budgets[i].Of("books").Earn(mgretry.Ratio)
						}
					}
					time.Sleep(time.Minute)
					earned = spendAll()
				})
				So(initial, ShouldBeBetweenOrEqual, 1, allowed)
				So(earned, ShouldBeBetweenOrEqual, 1, allowed)
			})
		}
	})
}
