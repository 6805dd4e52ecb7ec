// Command croftlock is one proxy: it takes clients' connections, places each at an upstream host as the decision
// module says, and carries its lines until it ends.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"croftlock/brain"
	"croftlock/internal/cluster"
	"croftlock/internal/line"
	"croftlock/internal/netio"
	"croftlock/internal/proxy"
)

// dialers is how many connections may be opening at a time.
const dialers = 32

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	cfg, err := loadConfig(os.Getenv)
	if err == nil {
		err = serve(cfg)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "croftlock:", err)
		os.Exit(1)
	}
}

// serve runs the proxy until it has been told to stop and has nothing left to carry.
func serve(cfg *config) error {
	runtime.GOMAXPROCS(cfg.procs())
	debug.SetMemoryLimit(cfg.memoryLimit())
	loop := netio.NewLoop()
	if err := netio.Attach(loop); err != nil {
		return fmt.Errorf("netpoll: %v", err)
	}
	dialer := netio.NewDialer(loop, dialers)
	core := proxy.New(loop, line.NewHosts(loop, dialer), proxy.Options{
		Settings: cfg.settings, Sessions: cfg.sessions(), DelayInLoad: cfg.delayInLoad})
	watch := cluster.NewClient(loop, dialer, cfg.discovery, cfg.known.Version, core.Listed)
	err := core.Run(func(fx brain.Effects) (proxy.Decider, error) { return brain.New(cfg.settings, cfg.seed, fx) },
		watch, cfg.known)
	if err != nil {
		return err
	}
	// The listener comes last: a client, or the front's PING, must find the proxy ready.
	if _, err := line.NewFront(loop, core, cfg.listen); err != nil {
		return fmt.Errorf("listen: %v", err)
	}
	log.Printf("event=ready name=%s listen=%s hosts=%d rev=%d sessions=%d", cfg.name, cfg.listen,
		len(cfg.known.Hosts), cfg.known.Version, cfg.sessions())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		s := <-stop
		log.Printf("event=stopping signal=%q", s)
		loop.Post(func() { core.Leave(loop.Stop) })
	}()
	loop.Run()
	log.Printf("event=stopped")
	return nil
}
