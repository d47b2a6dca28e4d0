package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == "video-servers" {
		serveAlone(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 4 {
		fmt.Println("usage: stand CASE ROOT FOLDER")
		os.Exit(noRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("unknown case", os.Args[1])
		os.Exit(noRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-signals; cannotRun("it was told to end") }()
	time.AfterFunc(115*time.Second, func() { cannotRun("115 s are over") })
	leave(play(os.Args[2], os.Args[3]))
}

// cases are the cases by name. Each returns its exit code.
var cases = map[string]func(root, dir string) int{
	"odd-handover": oddHandover,
	"other-line":   otherLine,
	"stand-still":  standStill,
	"long-hang":    longHang,
}
