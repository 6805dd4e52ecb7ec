package node

import (
	"fmt"
	"log/slog"
	"os"
	"time"

	"croftlock/internal/dataplane/upstreamtls"
	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/watermark"
	"croftlock/internal/operations/logging"
	"croftlock/internal/operations/settings"
)

// Schema is every section that the settings file may have.
func Schema() settings.Schema {
	return settings.Schema{logging.Section(), upstreamtls.Section(), memberagent.Section(), owneragent.Section(), watermark.Section()}
}

// The sections of a settings file.

func logOptions(f *settings.File) logging.Options     { return f.Value("log").(logging.Options) }
func tlsOptions(f *settings.File) upstreamtls.Options { return f.Value("tls").(upstreamtls.Options) }
func membershipOptions(f *settings.File) memberagent.Options {
	return f.Value("membership").(memberagent.Options)
}
func ownerOptions(f *settings.File) owneragent.Options { return f.Value("owners").(owneragent.Options) }
func watermarkOptions(f *settings.File) watermark.Options {
	return f.Value("floors").(watermark.Options)
}

// Check reads the files that the settings file refers to, and returns what cannot be used.
func Check(file *settings.File) []error {
	var faults []error
	if err := checkTLS(tlsOptions(file)); err != nil {
		faults = append(faults, fmt.Errorf("%s: tls: %w", file.Path, err))
	}
	member := membershipOptions(file)
	if err := member.Check(); err != nil {
		faults = append(faults, fmt.Errorf("%s: membership: %w", file.Path, err))
	}
	if err := ownerOptions(file).Check(member); err != nil {
		faults = append(faults, fmt.Errorf("%s: owners: %w", file.Path, err))
	}
	if watermarkOptions(file).Enabled && !member.Enabled {
		faults = append(faults, fmt.Errorf("%s: floors need membership: (membership (on on) …)", file.Path))
	}
	return faults
}

// checkTLS loads certificates and keys, and checks them.
func checkTLS(o upstreamtls.Options) error {
	if !o.Enabled {
		return nil
	}
	material, err := upstreamtls.Load(o, 1)
	if err != nil {
		return err
	}
	if fault := material.OwnFault(time.Now()); fault != nil {
		return fault
	}
	return nil
}

// stderr is where the log goes. It does not block where its reader stops reading.
var stderr = logging.NewNonBlockingWriter(os.Stderr)

// ConfigureLog configures the log by the settings file. A format of the command line wins over the file's, also after a reload.
func ConfigureLog(file *settings.File, format string) {
	o := logOptions(file)
	if format != "" {
		o.Format = format
	}
	slog.SetDefault(slog.New(logging.New(stderr, o)))
}
