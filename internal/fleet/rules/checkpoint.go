package rules

import "fmt"

// maxCheckpointBytes bounds an encoded checkpoint. It is below the 32 KiB that the replicated group
// stores for a job.
const maxCheckpointBytes = 31 << 10

// checkpoint is the publisher's state that the replicated group stores, so that the next publisher
// can continue from it.
type checkpoint struct {
	_        struct{} `cbor:",toarray"`
	Active   []byte   // the active version, as Version.encodeFor returns it for no base; empty means version 0
	Staged   []byte   // the version that is to follow it, encoded likewise; empty if none is staged
	AuditLog []AuditEntry
	History  [][]byte // earlier versions, oldest first; see versionStore.history
}

// encode encodes the checkpoint. It removes the oldest versions from History until the encoding fits
// maxCheckpointBytes.
func (c *checkpoint) encode() []byte {
	for {
		if data := marshal(c); len(data) <= maxCheckpointBytes || len(c.History) == 0 {
			return data
		}
		c.History = c.History[1:]
	}
}

// encodeCheckpoint encodes a state of the publisher. A nil staged version means that none is
// staged.
func (p *Publisher) encodeCheckpoint(active, staged *Version, audit []AuditEntry, history [][]byte) []byte {
	stored := checkpoint{Active: p.versions.transfers.encode(active, nil), AuditLog: audit, History: history}
	if staged != nil {
		stored.Staged = p.versions.transfers.encode(staged, nil)
	}
	return stored.encode()
}

// restore sets the versions and the audit log from an encoded checkpoint. An empty checkpoint means
// version 0 without a history.
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

// decodeCheckpoint decodes a checkpoint, and sets the active and the staged version from it. If the
// checkpoint has no active or no staged version, that of p stays as it is.
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
