package acceptor

import (
	"net"
	"syscall"
)

// kernelBufferBytes is the size of the kernel's buffers for each direction of a connection.
// The kernel allows twice as much, its own overhead included. Otherwise it enlarges those of
// fast connections to some megabytes, which a peer that stops reading, or is not read, keeps.
const kernelBufferBytes = 128 << 10

// bufferSetter is a connection whose buffers can be set.
type bufferSetter interface {
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
}

// boundBuffers bounds the kernel's buffers of a connection. If they cannot be set, it is
// used without that.
func boundBuffers(c bufferSetter) {
	_ = c.SetReadBuffer(kernelBufferBytes)
	_ = c.SetWriteBuffer(kernelBufferBytes)
}

// boundListener does the same for all connections that a listener accepts: they inherit
// the buffers.
func boundListener(l net.Listener) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, kernelBufferBytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, kernelBufferBytes)
	})
}
