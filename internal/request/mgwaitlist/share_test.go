package mgwaitlist

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// simulateFlood simulates ten accounts that together ask for more than all capacity, one of
// them for eight times as much as each of the other nine. It returns the fraction of
// requests that get a place in time, for the other accounts and for the flooding one.
// Unless hasAccounts is set, all requests have the same account.
func simulateFlood(hasAccounts bool) (others, heavy float64) {
	const accounts, span, step = 10, 60 * mgclock.Second, 20 * mgclock.Millis(1)
	r := rand.New(rand.NewPCG(1, 2))
	var waitingList WaitingList
	type run struct {
		need int
		end  mgclock.Millis
	}
	var runs []run
	owner, due := map[string]int{}, map[string]mgclock.Millis{}
	var asked, onTime [accounts]float64
	number := 0
	for now := mgclock.Millis(0); now < span; now += step {
		for account := range accounts {
			chance := 0.008
			if account == 0 {
				chance *= 8
			}
			if r.Float64() >= chance {
				continue
			}
			number++
			w := newRequest(fmt.Sprint(number), 3000, now+1500)
			w.Duration = 4000
			w.Arrived = now
			w.GiveUpAt = now + 5000
			if hasAccounts {
				w.Account = fmt.Sprint(account)
			}
			owner[w.Name], due[w.Name] = account, w.Due
			asked[account]++
			waitingList.Add(w)
		}
		free := 60000 // twenty requests at once, for a demand of 27
		kept := runs[:0]
		for _, run := range runs {
			if now < run.end {
				kept = append(kept, run)
				free -= run.need
			}
		}
		runs = kept
		// The free memory here includes each grant at once, so none may count twice.
		waitingList.assignments = nil
		for _, g := range waitingList.Assign(now, []Place{{Name: "all", Free: free}}) {
			if g.Place == "" {
				continue
			}
			runs = append(runs, run{
				need: 3000,
				end:  now + 4000,
			})
			if now <= due[g.Name] {
				onTime[owner[g.Name]]++
			}
		}
	}
	othersAsked, othersTimely := 0.0, 0.0
	for account := 1; account < accounts; account++ {
		othersAsked += asked[account]
		othersTimely += onTime[account]
	}
	return othersTimely / othersAsked, onTime[0] / asked[0]
}

// Guards against an account that takes the places of others. One account sends eight times
// its usual rate, and the requests of all other accounts wait behind its.
func TestAccountFloodsOthers(t *testing.T) {
	othersWithoutAccounts, _ := simulateFlood(false)
	others, heavy := simulateFlood(true)
	t.Logf("others on time without shares %.2f, with %.2f; the flooder %.2f", othersWithoutAccounts, others, heavy)
	Convey("The other accounts are served on time beside one that floods", t, func() {
		So(others, ShouldBeGreaterThan, 0.9)
		So(others, ShouldBeGreaterThan, othersWithoutAccounts+0.1)
		Convey("and it gets what they leave", func() {
			So(heavy, ShouldBeGreaterThan, 0.2)
		})
	})
}
