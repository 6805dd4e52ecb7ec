package membership

import (
	"net/netip"
	"slices"
)

// maxSlots is the maximum number of slots, which are numbers of addresses, if addresses are learnt.
const maxSlots = 4096

// addressBook records which member is at which slot. The configuration fixes the slots; with seeds,
// slots are numbered as addresses are learnt, and the seeds have the first numbers.
type addressBook struct {
	memberAt  []uint32         // member ID by slot; zero if no member is known at the slot
	addresses []netip.AddrPort // address by slot; empty if the configuration fixes the slots
	seeds     int              // number of seeds, which have the first slots
}

// newAddressBook returns an addressBook with the configured slots or seeds.
func newAddressBook(cfg Config) addressBook {
	return addressBook{memberAt: make([]uint32, cfg.Slots), addresses: slices.Clone(cfg.Seeds), seeds: len(cfg.Seeds)}
}

// learnsAddresses reports whether addresses are learnt from datagrams instead of configured as slots.
func (b *addressBook) learnsAddresses() bool { return len(b.addresses) > 0 }

// validSlot reports whether slot is the number of a configured or learnt address.
func (b *addressBook) validSlot(slot int) bool { return slot >= 0 && slot < len(b.memberAt) }

// assign records that member m is at slot.
func (b *addressBook) assign(m *member, slot int) {
	m.Slot = slot
	b.memberAt[slot] = m.ID
}

// release frees the slot of member m if m has moved to the slot movedTo.
func (b *addressBook) release(m *member, movedTo int) {
	if m.Slot >= 0 && m.Slot != movedTo && b.memberAt[m.Slot] == m.ID {
		b.memberAt[m.Slot] = 0
	}
}

// slotFor returns the slot of address addr. For a new address it reuses the slot of a member that has left
// or is gone, whose Slot it sets to -1, or adds a slot. It returns -1 if all slots are in use.
// added reports whether a slot was added.
func (b *addressBook) slotFor(addr netip.AddrPort, table *memberTable) (slot int, added bool) {
	if i := slices.Index(b.addresses, addr); i >= 0 {
		return i, false
	}
	for i, id := range b.memberAt {
		// The slot of an ended member is reused, but not a seed's: the two sides of a partitioned fleet
		// find each other again at the seeds.
		if m := table.get(id); i >= b.seeds && m != nil && m.State.ended() {
			m.Slot = -1
			b.addresses[i], b.memberAt[i] = addr, 0
			return i, false
		}
	}
	if len(b.addresses) >= maxSlots {
		return -1, false
	}
	b.addresses, b.memberAt = append(b.addresses, addr), append(b.memberAt, 0)
	return len(b.addresses) - 1, true
}
