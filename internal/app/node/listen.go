package node

import (
	"errors"
	"fmt"
	"syscall"

	"croftlock/internal/dataplane/lineproto"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/admin"
)

// listen creates the front, which serves clients. fd is the listening socket that the old process
// handed over; if it is negative, listen opens a new one. If hot restarts are possible, other
// sockets may listen at the address of the new one too, so that a later process can start even if
// this one fails to hand its socket over.
func (p *process) listen(fd int) (err error) {
	if fd >= 0 {
		p.listener, err = netio.Inherit(fd)
	} else {
		p.listener, err = retryStart(func() (*netio.Listener, error) { return netio.Bind(p.cfg.Listen, p.restart.dir != "") }, addressInUse)
	}
	if err != nil {
		return fmt.Errorf("listen: %v", err)
	}
	p.front = lineproto.NewFront(p.loop, p.core, p.listener, p.cfg.MaxIdleClients())
	p.core.SetIdleDownstreams(p.front)
	return nil
}

// listenAdmin starts the admin interface if the platform configures an address for it.
func (p *process) listenAdmin() error {
	if p.cfg.Admin == "" {
		return nil
	}
	listen := func() (*admin.Server, error) {
		return admin.Listen(p.loop, p.core, p.cfg.Admin, p.cfg.MaxAdminCallers())
	}
	if _, err := retryStart(listen, addressInUse); err != nil {
		return fmt.Errorf("admin_addr: %v", err)
	}
	return nil
}

// addressInUse reports whether err is EADDRINUSE.
func addressInUse(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }
