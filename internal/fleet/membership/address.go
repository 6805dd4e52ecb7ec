package membership

import (
	"net/netip"
	"slices"
)

// maxSlots bounds how many addresses are learnt.
const maxSlots = 4096

// addressBook says which member is at which slot. Slots are fixed by the configuration, or, with seeds, numbered as addresses are learnt: the
// seeds have the first numbers.
type addressBook struct {
	memberAt  []uint32         // member id by slot; 0: not known
	addresses []netip.AddrPort // by slot; empty where slots are fixed
	seeds     int
}

func newAddressBook(cfg Config) addressBook {
	return addressBook{memberAt: make([]uint32, cfg.Slots), addresses: slices.Clone(cfg.Seeds), seeds: len(cfg.Seeds)}
}

// learnsAddresses says whether addresses are learnt, since members come and go.
func (b *addressBook) learnsAddresses() bool { return len(b.addresses) > 0 }

func (b *addressBook) validSlot(slot int) bool { return slot >= 0 && slot < len(b.memberAt) }

// assign records that a member is at a slot.
func (b *addressBook) assign(m *member, slot int) {
	m.Slot = slot
	b.memberAt[slot] = m.ID
}

// release frees a member's slot if it moved to another one.
func (b *addressBook) release(m *member, movedTo int) {
	if m.Slot >= 0 && m.Slot != movedTo && b.memberAt[m.Slot] == m.ID {
		b.memberAt[m.Slot] = 0
	}
}

// slotFor is the slot of an address, an added one where there is none yet; below 0 where all slots are in use.
func (b *addressBook) slotFor(addr netip.AddrPort, table *memberTable) (slot int, added bool) {
	if i := slices.Index(b.addresses, addr); i >= 0 {
		return i, false
	}
	for i, id := range b.memberAt {
		// A member that ended frees its slot, but a seed's stays: seeds are where the parts of a split fleet find each other.
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
