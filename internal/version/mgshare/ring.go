package mgshare

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

const (
	// slotCount is the number of groups of accounts. With 128, an entry of 120 is home
	// of about one, so that its requests for votes cost a few messages a second. Fewer
	// slots would load a few homes with most leases, more would split the calls.
	slotCount = 128
	// witnessesPerSlot is the number of entries that vote for the home of a slot. With
	// five, the loss of one costs a fifth of the caps until the list drops it.
	witnessesPerSlot = 5
)

// A Ring maps accounts to their homes and witnesses, according to this process's list.
type Ring struct {
	version       uint64
	region        string
	witnesses     [slotCount][]*mgmember.Member
	witnessHashes [slotCount]uint64
	entryCount    int
}

// NewRing ranks the listed entries of a region for each slot.
func NewRing(view *mgmember.View, region string) *Ring {
	r := &Ring{
		version: view.Version(),
		region:  region,
	}
	var listed []*mgmember.Member
	for _, m := range view.Entries(region) {
		if m.Listed() {
			listed = append(listed, m)
		}
	}
	r.entryCount = len(listed)
	for slot := range r.witnesses {
		r.witnesses[slot] = mgmember.Rank(fmt.Sprintf("slot %d", slot), listed, witnessesPerSlot)
		r.witnessHashes[slot] = xxhash.Sum64String(strings.Join(memberNames(r.witnesses[slot]), " "))
	}
	return r
}

func memberNames(members []*mgmember.Member) []string {
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.Name())
	}
	return list
}

// slotOf returns the slot of an account.
func slotOf(account string) int { return int(xxhash.Sum64String(account) % slotCount) }

// Home returns the member that this process computes as the home of an account, or nil.
// The ring holds the listed entries, the view shows which are dead or leaving now.
func (r *Ring) Home(view *mgmember.View, account string) *mgmember.Member {
	for _, m := range r.witnesses[slotOf(account)] {
		now, ok := view.Member(m.Name())
		if ok && !now.Suspect() && !now.Leaving() {
			return now
		}
	}
	return nil
}
