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
func (c *Publisher) encodeCheckpoint(active, staged *Version, audit []AuditEntry, history [][]byte) []byte {
	stored := checkpoint{Active: c.versions.transfers.encode(active, nil), AuditLog: audit, History: history}
	if staged != nil {
		stored.Staged = c.versions.transfers.encode(staged, nil)
	}
	return stored.encode()
}

// restore goes on from a checkpoint; an empty one is version 0.
func (c *Publisher) restore(data []byte) error {
	c.versions.setActive(&Version{})
	if len(data) == 0 {
		return nil
	}
	stored, err := c.decodeCheckpoint(data)
	if err != nil {
		return fmt.Errorf("rules: what the keeper before left: %w", err)
	}
	c.audit.restore(stored.AuditLog, c.versions.active.Number)
	c.versions.history = stored.History
	return nil
}

func (c *Publisher) decodeCheckpoint(data []byte) (stored checkpoint, err error) {
	if err := unmarshal(data, &stored); err != nil {
		return stored, err
	}
	if len(stored.Active) > 0 {
		v, err := decodeVersion(stored.Active, onlyBase(nil))
		if err != nil {
			return stored, err
		}
		c.versions.setActive(v)
	}
	if len(stored.Staged) > 0 {
		v, err := decodeVersion(stored.Staged, onlyBase(nil))
		if err != nil {
			return stored, err
		}
		c.versions.stage(v, c.versions.stagedAt)
	}
	return stored, nil
}
