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

// Schema returns the sections that the settings file may have.
func Schema() settings.Schema {
	return settings.Schema{logging.Section(), upstreamtls.Section(), memberagent.Section(), owneragent.Section(), watermark.Section()}
}

// The following functions return the options of one section of a settings file.

func logOptions(f *settings.File) logging.Options     { return f.Value("log").(logging.Options) }
func tlsOptions(f *settings.File) upstreamtls.Options { return f.Value("tls").(upstreamtls.Options) }
func membershipOptions(f *settings.File) memberagent.Options {
	return f.Value("membership").(memberagent.Options)
}
func ownerOptions(f *settings.File) owneragent.Options { return f.Value("owners").(owneragent.Options) }
func watermarkOptions(f *settings.File) watermark.Options {
	return f.Value("floors").(watermark.Options)
}

// Check validates the settings file and the files that it refers to. It returns all faults, or nil
// if there are none.
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

// checkTLS loads the certificate, key and trust files that o names and validates them, if TLS is
// enabled.
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

// stderr receives the log. Writing does not block if the reader of standard error stops reading.
var stderr = logging.NewNonBlockingWriter(os.Stderr)

// ConfigureLog sets the default logger as the settings file specifies. format is the log format
// from the command line, which overrides the file's unless it is empty. ConfigureLog may be called
// again after a reload of the file.
func ConfigureLog(file *settings.File, format string) {
	o := logOptions(file)
	if format != "" {
		o.Format = format
	}
	slog.SetDefault(slog.New(logging.New(stderr, o)))
}
