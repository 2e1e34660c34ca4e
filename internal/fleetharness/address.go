package fleetharness

import (
	"fmt"
	"net"
	"os"
)

// The third byte of an address identifies the kind of its owner.
const (
	brokerNet = 1   // first value for brokers
	relayNet  = 50  // first value for the relays in front of brokers
	nodeNet   = 100 // first value for nodes

	hostsPerNet = 250 // addresses used per third byte; the fourth byte starts at firstHost
	firstHost   = 2
)

// Ports of a broker, and of its relays.
const (
	clientPort    = 7000
	consolePort   = 7001
	peerPort      = 7002
	agreementPort = 7003
	nodePort      = 6379
)

// Bounds of address blocks. A harness takes the first free block from a position derived from its process id, so that
// several harnesses can run concurrently. While a block is in use, the harness listens on blockLockPort of the first
// address of the block.
const (
	firstBlock    = 20
	blockSpread   = 200
	lastBlock     = 250
	blockLockPort = 6000
)

// acquireBlock reserves a free block of addresses until the returned listener is closed.
func acquireBlock() (block int, lock net.Listener, err error) {
	for block = firstBlock + os.Getpid()%blockSpread; ; block++ {
		lock, err = net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:%d", block, blockLockPort))
		if err == nil {
			return block, lock, nil
		}
		if block > lastBlock {
			return 0, nil, err
		}
	}
}

// address returns the address of a broker, relay or node. base is brokerNet, relayNet or nodeNet.
func (f *Fleet) address(base, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.block, base+number/hostsPerNet, number%hostsPerNet+firstHost, port)
}

func (f *Fleet) consoleAddress(broker int) string { return f.address(brokerNet, broker, consolePort) }

// brokerAt returns the number of the broker that uses an address, or -1 if the address does not belong to a broker.
func (f *Fleet) brokerAt(address net.Addr) int {
	host, _, err := net.SplitHostPort(address.String())
	ip := net.ParseIP(host).To4()
	if err != nil || ip == nil || int(ip[1]) != f.block || ip[2] < brokerNet || ip[2] >= relayNet {
		return -1
	}
	return (int(ip[2])-brokerNet)*hostsPerNet + int(ip[3]) - firstHost
}

func brokerName(number int) string { return fmt.Sprintf("broker-%d", number) }

func nodeName(number int) string { return fmt.Sprintf("node-%d", number) }

func zoneName(number int) string { return fmt.Sprintf("zone-%d", number) }
