// Package reservedport reserves loopback ports for servers that tests start with an address.
package reservedport

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
)

// TCP returns a loopback address as host:port and keeps its port until release is called. A
// server can listen there meanwhile, also after a restart. No other reservation, listener on a
// port that the system chooses, or outgoing connection gets the port.
//
// The socket that keeps the port does not listen. It allows the reuse of its address only once
// it is bound: the port is free of sockets that allow it too, and servers, which listen with
// SO_REUSEADDR, can bind it.
func TCP() (address string, release func() error, err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, os.NewSyscallError("socket", err)
	}
	release = func() error { return os.NewSyscallError("close", syscall.Close(fd)) }
	port, err := bind(fd)
	if err != nil {
		_ = release()
		return "", nil, err
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), release, nil
}

// Listen returns a listener on a port that stays reserved after the listener is closed, until release is called.
func Listen() (l net.Listener, release func() error, err error) {
	address, release, err := TCP()
	if err != nil {
		return nil, nil, err
	}
	if l, err = net.Listen("tcp", address); err != nil {
		_ = release()
		return nil, nil, err
	}
	return l, release, nil
}

// bind binds a socket to a loopback port that the system chooses.
func bind(fd int) (port int, err error) {
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, os.NewSyscallError("bind", err)
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, os.NewSyscallError("setsockopt", err)
	}
	address, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, os.NewSyscallError("getsockname", err)
	}
	inet, ok := address.(*syscall.SockaddrInet4)
	if !ok {
		return 0, fmt.Errorf("address of type %T", address)
	}
	return inet.Port, nil
}

// firstUDPPort and lastUDPPort are below the range of ports that the system chooses.
const (
	firstUDPPort = 20000
	lastUDPPort  = 32000
)

var udpPorts atomic.Uint32

// UDP returns a loopback IP address that only this process uses, and a port that it did not
// return before. It binds nothing: a socket that keeps a UDP port would keep servers from it.
func UDP() (ip string, port int) {
	return processIP(os.Getpid()), firstUDPPort + int(udpPorts.Add(1)-1)%(lastUDPPort-firstUDPPort)
}

// processIP returns a loopback address for a process ID of up to 22 bits, the most that Linux
// allows. It is never 127.0.0.1.
func processIP(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", pid>>14&0xff, 128+pid>>7&0x7f, 1+pid&0x7f)
}
