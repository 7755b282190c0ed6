package faults

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"
)

// callsVariable tells a process of a Failing program which of its system calls fail: a seed, how many in a million calls on sockets
// fail or are cut short at any time, from when to when no descriptor can be had and all accepts and connects fail, and from when to
// when its state folder can't be written, in milliseconds from its start.
const callsVariable = "CORALYARD_RIG_CALLS"

// Calls tells which system calls of a process fail. The zero value has none fail.
type Calls struct {
	Seed        uint64
	InAMillion  int           // calls on sockets that fail or are cut short, at any time
	SocketsFrom time.Duration // from when to when no descriptor can be had, and all accepts and connects fail
	SocketsTo   time.Duration
	FolderFrom  time.Duration // from when to when the state folder can't be written
	FolderTo    time.Duration
}

// Environment is that of a process of a Failing program.
func (c Calls) Environment() string {
	return fmt.Sprintf("%s=%d %d %d %d %d %d", callsVariable, c.Seed%1e9, c.InAMillion,
		c.SocketsFrom.Milliseconds(), c.SocketsTo.Milliseconds(), c.FolderFrom.Milliseconds(), c.FolderTo.Milliseconds())
}

// failing goes into package syscall of a Failing program.
const failing = `package syscall

import (
	"sync/atomic"
	"unsafe"
)

var (
	rigNumbers = rigRead()
	rigFolder, _ = Getenv("ROUTER_STATE")
	rigStart = rigNow()
	rigCount atomic.Uint64
)

func rigRead() (numbers [6]int64) {
	text, _ := Getenv("` + callsVariable + `")
	i := 0
	for _, c := range []byte(text) {
		if c == ' ' {
			i++
		} else {
			numbers[i] = numbers[i]*10 + int64(c-'0')
		}
	}
	return numbers
}

func rigNow() int64 {
	var now Timespec
	RawSyscall(SYS_CLOCK_GETTIME, 1, uintptr(unsafe.Pointer(&now)), 0)
	return now.Nano() / 1e6
}

func rigWithin(from int) bool {
	if rigNumbers[from+1] == 0 {
		return false
	}
	now := rigNow() - rigStart
	return now >= rigNumbers[from] && now < rigNumbers[from+1]
}

func rigDraw(n uint64) uint64 {
	z := rigCount.Add(1)*0x9e3779b97f4a7c15 + uint64(rigNumbers[0])*0xbf58476d1ce4e5b9
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return (z ^ (z >> 31)) % n
}

func rigOneOf(all ...Errno) error { return all[rigDraw(uint64(len(all)))] }

func rigSeldom() bool { return rigNumbers[1] > 0 && rigDraw(1000000) < uint64(rigNumbers[1]) }

func rigIs(fd int, kind uint32) bool {
	var s Stat_t
	_, _, e := RawSyscall(SYS_FSTAT, uintptr(fd), uintptr(unsafe.Pointer(&s)), 0)
	return e == 0 && s.Mode&S_IFMT == kind
}

// rigReset has the other side of a connection that is said to have failed see that as well.
func rigReset(fd int) {
	var none [16]byte
	RawSyscall(SYS_CONNECT, uintptr(fd), uintptr(unsafe.Pointer(&none)), 16)
}

func rigFolderFails() bool { return rigWithin(4) }

func rigInFolder(path string) bool {
	return rigFolder != "" && len(path) >= len(rigFolder) && path[:len(rigFolder)] == rigFolder
}

func rigDiskError() error { return rigOneOf(ENOSPC, EIO) }

func accept4(s int, rsa *RawSockaddrAny, addrlen *_Socklen, flags int) (int, error) {
	if rigWithin(2) || rigSeldom() {
		return -1, rigOneOf(ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR, EPROTO, EPERM, ENETDOWN, EHOSTUNREACH, ENETUNREACH)
	}
	return rigTrueAccept4(s, rsa, addrlen, flags)
}

func socket(domain int, typ int, proto int) (int, error) {
	if rigWithin(2) || rigSeldom() {
		return -1, rigOneOf(EMFILE, ENFILE, ENOBUFS, ENOMEM)
	}
	return rigTrueSocket(domain, typ, proto)
}

func connect(s int, addr unsafe.Pointer, addrlen _Socklen) error {
	if rigWithin(2) || rigSeldom() {
		return rigOneOf(EADDRNOTAVAIL, EAGAIN, ENOBUFS, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EINTR)
	}
	return rigTrueConnect(s, addr, addrlen)
}

// rigOnSocket does a call on a socket, seldom not at all or for one byte.
func rigOnSocket(fd int, p []byte, do func(int, []byte) (int, error), fatal ...Errno) (int, error) {
	if len(p) == 0 || !rigSeldom() || !rigIs(fd, S_IFSOCK) {
		return do(fd, p)
	}
	switch rigDraw(3) {
	case 0:
		return -1, EINTR
	case 1:
		return do(fd, p[:1])
	}
	rigReset(fd)
	return -1, rigOneOf(fatal...)
}

func rigFileFails(fd int) bool { return rigFolderFails() && rigIs(fd, S_IFREG) }

// rigHalfWrite fails a write to a file, with half of it done or none.
func rigHalfWrite(p []byte, do func([]byte) (int, error)) (int, error) {
	if half := len(p) / 2; half > 0 && rigDraw(2) == 0 {
		do(p[:half])
	}
	return -1, rigDiskError()
}

func read(fd int, p []byte) (int, error) {
	return rigOnSocket(fd, p, rigTrueRead, ETIMEDOUT, EHOSTUNREACH, ECONNRESET, ENETUNREACH)
}

func write(fd int, p []byte) (int, error) {
	if rigFileFails(fd) {
		return rigHalfWrite(p, func(half []byte) (int, error) { return rigTrueWrite(fd, half) })
	}
	return rigOnSocket(fd, p, rigTrueWrite, ETIMEDOUT, EHOSTUNREACH, ECONNRESET, EPIPE)
}

func pwrite(fd int, p []byte, offset int64) (int, error) {
	if rigFileFails(fd) {
		return rigHalfWrite(p, func(half []byte) (int, error) { return rigTruePwrite(fd, half, offset) })
	}
	return rigTruePwrite(fd, p, offset)
}

func Ftruncate(fd int, length int64) error {
	if rigFileFails(fd) {
		return rigDiskError()
	}
	return rigTrueFtruncate(fd, length)
}

func Fsync(fd int) error {
	if rigFileFails(fd) {
		return rigDiskError()
	}
	return rigTrueFsync(fd)
}

func openat(dirfd int, path string, flags int, mode uint32) (int, error) {
	if rigWithin(2) {
		return -1, rigOneOf(EMFILE, ENFILE, ENOMEM)
	}
	if flags&(O_WRONLY|O_RDWR|O_CREAT) != 0 && rigFolderFails() && rigInFolder(path) {
		return -1, rigDiskError()
	}
	return rigTrueOpenat(dirfd, path, flags, mode)
}

func Renameat(olddirfd int, oldpath string, newdirfd int, newpath string) error {
	if rigFolderFails() && rigInFolder(newpath) {
		return rigDiskError()
	}
	return rigTrueRenameat(olddirfd, oldpath, newdirfd, newpath)
}
`

// failingCalls are the functions of package syscall that failing has a version of.
var failingCalls = []string{"accept4", "socket", "connect", "read", "write", "pwrite", "Ftruncate", "Fsync", "openat", "Renameat"}

// callOverlay has system calls of a program fail as its environment says.
func callOverlay(root string) (map[string]string, error) {
	at := filepath.Join(root, "src", "syscall")
	wrappers := filepath.Join(at, "zsyscall_linux_"+runtime.GOARCH+".go")
	source, err := os.ReadFile(wrappers)
	if err != nil {
		return nil, err
	}
	text := string(source)
	for _, name := range failingCalls {
		line := "\nfunc " + name + "("
		if strings.Count(text, line) != 1 {
			return nil, fmt.Errorf("faults: this Go's package syscall has no function %q", name)
		}
		text = strings.Replace(text, line, "\nfunc rigTrue"+strings.ToUpper(name[:1])+name[1:]+"(", 1)
	}
	return map[string]string{wrappers: text, filepath.Join(at, "failing.go"): failing}, nil
}
