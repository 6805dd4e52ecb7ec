package rules

import "fmt"

const maxCheckpointBytes = 31 << 10 // below the 32 KiB that a job may leave

// checkpoint is what the group stores of the rules: one publisher leaves it, the next continues from it.
type checkpoint struct {
	_        struct{} `cbor:",toarray"`
	Active   []byte   // a version, encoded for transfer
	Staged   []byte   // empty: none
	AuditLog []AuditEntry
	History  [][]byte
}

// encode drops the oldest versions that do not fit.
func (c *checkpoint) encode() []byte {
	for {
		if data := marshal(c); len(data) <= maxCheckpointBytes || len(c.History) == 0 {
			return data
		}
		c.History = c.History[1:]
	}
}

// encodeCheckpoint encodes a state of the publisher; a nil staged version: none.
func (p *Publisher) encodeCheckpoint(active, staged *Version, audit []AuditEntry, history [][]byte) []byte {
	stored := checkpoint{Active: p.versions.transfers.encode(active, nil), AuditLog: audit, History: history}
	if staged != nil {
		stored.Staged = p.versions.transfers.encode(staged, nil)
	}
	return stored.encode()
}

// restore continues from a checkpoint; an empty one is version 0.
func (p *Publisher) restore(data []byte) error {
	p.versions.setActive(&Version{})
	if len(data) == 0 {
		return nil
	}
	stored, err := p.decodeCheckpoint(data)
	if err != nil {
		return fmt.Errorf("rules: what the keeper before left: %w", err)
	}
	p.audit.restore(stored.AuditLog, p.versions.active.Number)
	p.versions.history = stored.History
	return nil
}

func (p *Publisher) decodeCheckpoint(data []byte) (stored checkpoint, err error) {
	if err := unmarshal(data, &stored); err != nil {
		return stored, err
	}
	if len(stored.Active) > 0 {
		v, err := decodeVersion(stored.Active, onlyBase(nil))
		if err != nil {
			return stored, err
		}
		p.versions.setActive(v)
	}
	if len(stored.Staged) > 0 {
		v, err := decodeVersion(stored.Staged, onlyBase(nil))
		if err != nil {
			return stored, err
		}
		p.versions.stage(v, p.versions.stagedAt)
	}
	return stored, nil
}
