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
	"strings"
	"syscall"

	"croftlock/brain"
	"croftlock/internal/cluster"
	"croftlock/internal/line"
	"croftlock/internal/netio"
	"croftlock/internal/proxy"
)

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	// Before anything else: a SIGHUP that nobody takes ends the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	cfg, err := loadConfig(os.Getenv)
	if err == nil {
		err = serve(cfg, signals)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "croftlock:", err)
		os.Exit(1)
	}
}

// serve runs the proxy until it has been told to stop and has nothing left to carry.
func serve(cfg *config, signals <-chan os.Signal) error {
	runtime.GOMAXPROCS(cfg.procs())
	debug.SetMemoryLimit(cfg.memoryLimit())
	loop := netio.NewLoop()
	if err := netio.Attach(loop); err != nil {
		return fmt.Errorf("netpoll: %v", err)
	}
	dialer := netio.NewDialer(loop, cfg.dialers())
	core := proxy.New(loop, line.NewHosts(loop, dialer), proxy.Options{
		Settings: cfg.settings, Sessions: cfg.sessions(), DelayInLoad: cfg.delayInLoad})
	watch := cluster.NewClient(loop, dialer, cfg.discovery, cfg.known.Version, core.Listed)
	err := core.Run(func(fx brain.Effects) (proxy.Decider, error) { return brain.New(cfg.settings, cfg.seed, fx) },
		watch, cfg.known)
	if err != nil {
		return err
	}
	// The listener comes last: a client, or the front's PING, must find the proxy ready.
	if _, err := line.NewFront(loop, core, cfg.listen, cfg.newcomers()); err != nil {
		return fmt.Errorf("listen: %v", err)
	}
	log.Printf("event=ready name=%s listen=%s hosts=%d rev=%d sessions=%d", cfg.name, cfg.listen,
		len(cfg.known.Hosts), cfg.known.Version, cfg.sessions())
	go obey(signals, cfg, func(discovery string) { loop.Post(func() { watch.Redirect(discovery) }) },
		func() { loop.Post(func() { core.Leave(loop.Stop) }) })
	loop.Run()
	log.Printf("event=stopped")
	return nil
}

// obey takes signals for as long as the program runs. The file is read here, beside the loop, which must not wait for a
// disk. A file that can't be used changes nothing.
func obey(signals <-chan os.Signal, cfg *config, redirect func(discovery string), leave func()) {
	for s := range signals {
		if s != syscall.SIGHUP {
			log.Printf("event=stopping signal=%q", s)
			leave()
			continue
		}
		next, later, err := reloadConfig(os.Getenv, cfg)
		if err != nil {
			log.Printf("event=reload_failed reason=%q", err)
			continue
		}
		log.Printf("event=reloaded discovery=%s at_next_start=%q", next.discovery, strings.Join(later, ","))
		redirect(next.discovery)
	}
}
