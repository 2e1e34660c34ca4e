package fleetharness

import (
	"fmt"
	"net"
	"os"
)

// The third byte of an address tells what stands there.
const (
	brokerNet = 1   // brokers, from here on
	relayNet  = 50  // relays in front of brokers
	nodeNet   = 100 // nodes

	hostsPerNet = 250 // used of each third byte; the fourth starts at firstHost
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

// Blocks of addresses: a harness takes the first free one from a place that its process id tells, so that several run
// beside each other. blockLockPort at the block's first address is held as long as the block is in use.
const (
	firstBlock    = 20
	blockSpread   = 200
	lastBlock     = 250
	blockLockPort = 6000
)

// acquireBlock takes a block of addresses of its own, which it holds until the listener is closed.
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

// address is that of one of a kind: base is brokerNet, relayNet or nodeNet.
func (f *Fleet) address(base, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.block, base+number/hostsPerNet, number%hostsPerNet+firstHost, port)
}

func (f *Fleet) consoleAddress(broker int) string { return f.address(brokerNet, broker, consolePort) }

// brokerAt tells which broker calls from an address, -1 for none.
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
