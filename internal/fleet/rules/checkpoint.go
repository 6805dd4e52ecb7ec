package rules

import "fmt"

const maxCheckpointBytes = 31 << 10 // a job may leave 32 KiB

// checkpoint is what the group stores of the rules: what one coordinator leaves to the next.
type checkpoint struct {
	_        struct{} `cbor:",toarray"`
	Active   []byte   // a version, encoded for transfer
	Staged   []byte   // empty: none
	AuditLog []AuditEntry
	History  [][]byte
}

// encode drops the oldest versions that there is no room for.
func (c *checkpoint) encode() []byte {
	for {
		if data := marshal(c); len(data) <= maxCheckpointBytes || len(c.History) == 0 {
			return data
		}
		c.History = c.History[1:]
	}
}

// encodeCheckpoint encodes a state of the coordinator; a nil staged version: none.
func (k *Coordinator) encodeCheckpoint(active, staged *Version, audit []AuditEntry, history [][]byte) []byte {
	c := checkpoint{Active: k.versions.transfers.encode(active, nil), AuditLog: audit, History: history}
	if staged != nil {
		c.Staged = k.versions.transfers.encode(staged, nil)
	}
	return c.encode()
}

// restore goes on from a checkpoint; an empty one is version 0.
func (k *Coordinator) restore(data []byte) error {
	k.versions.setActive(&Version{})
	if len(data) == 0 {
		return nil
	}
	c, err := k.decodeCheckpoint(data)
	if err != nil {
		return fmt.Errorf("rules: what the keeper before left: %w", err)
	}
	k.audit.restore(c.AuditLog, k.versions.active.Number)
	k.versions.history = c.History
	return nil
}

func (k *Coordinator) decodeCheckpoint(data []byte) (c checkpoint, err error) {
	if err := unmarshal(data, &c); err != nil {
		return c, err
	}
	if len(c.Active) > 0 {
		v, err := decodeVersion(c.Active, onlyBase(nil))
		if err != nil {
			return c, err
		}
		k.versions.setActive(v)
	}
	if len(c.Staged) > 0 {
		v, err := decodeVersion(c.Staged, onlyBase(nil))
		if err != nil {
			return c, err
		}
		k.versions.stage(v, k.versions.stagedAt)
	}
	return c, nil
}
