package neighbour

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
)

// variable holds the Spec of a process that is to be a proxy.
const variable = "CORALYARD_RIG_NEIGHBOUR"

// Main is called first by a program that starts neighbours of itself. In a process that is to be one it serves until its standard input
// ends, and does not return.
func Main() {
	text, ok := os.LookupEnv(variable)
	if !ok {
		return
	}
	if err := serveProcess(text); err != nil {
		fmt.Fprintln(os.Stderr, "neighbour:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

func serveProcess(text string) error {
	spec, err := decode(text)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		io.Copy(io.Discard, os.Stdin) // until whoever started it ends
		cancel()
	}()
	errs := make(chan error)
	for _, target := range spec.Targets {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		fmt.Println(ln.Addr())
		go func() { errs <- serve(ctx, spec, target, ln.(*net.TCPListener)) }()
	}
	for range spec.Targets {
		err = errors.Join(err, <-errs)
	}
	return err
}

// Start starts a proxy in a process of its own, as another process of this program, which has to call Main. It returns where it stands for
// each of the targets. Stop ends it, and waits.
func Start(spec Spec) (addrs []string, stop func() error, err error) {
	text, err := spec.encode()
	if err != nil {
		return nil, nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), variable+"="+text)
	cmd.Stderr = os.Stderr
	in, inErr := cmd.StdinPipe()
	out, outErr := cmd.StdoutPipe()
	if err := errors.Join(inErr, outErr, cmd.Start()); err != nil {
		return nil, nil, fmt.Errorf("neighbour: %w", err)
	}
	stop = func() error { return errors.Join(in.Close(), cmd.Wait()) }
	lines := bufio.NewReader(out)
	for range spec.Targets {
		line, err := lines.ReadString('\n')
		if err != nil {
			return nil, nil, errors.Join(fmt.Errorf("neighbour: it has no address: %w", err), stop())
		}
		addrs = append(addrs, strings.TrimSpace(line))
	}
	return addrs, stop, nil
}
