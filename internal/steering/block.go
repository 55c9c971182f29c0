package steering

import (
	"encoding/binary"
	"net/netip"
)

// Block is a group of client addresses that are steered together: an IPv4 /24
// or an IPv6 /48. Its value is the leading 24 or 48 bits of the addresses, with
// ipv6Flag set for IPv6.
type Block uint64

const (
	ipv4BlockBits = 24
	ipv6BlockBits = 48

	// ipv6Flag is set in IPv6 blocks, so that no IPv6 block equals an IPv4 one.
	ipv6Flag = Block(1) << 63
)

// BlockOf returns the block of an address. IPv4-mapped IPv6 addresses count as
// IPv4.
func BlockOf(addr netip.Addr) Block {
	if addr.Is4() || addr.Is4In6() {
		octets := addr.As4()
		return Block(binary.BigEndian.Uint32(octets[:]) >> (32 - ipv4BlockBits))
	}
	octets := addr.As16()
	return ipv6Flag | Block(binary.BigEndian.Uint64(octets[:8])>>(64-ipv6BlockBits))
}

// Prefix returns the address prefix of the block.
func (b Block) Prefix() netip.Prefix {
	if b&ipv6Flag == 0 {
		var octets [4]byte
		binary.BigEndian.PutUint32(octets[:], uint32(b)<<(32-ipv4BlockBits))
		return netip.PrefixFrom(netip.AddrFrom4(octets), ipv4BlockBits)
	}
	var octets [16]byte
	binary.BigEndian.PutUint64(octets[:8], uint64(b&^ipv6Flag)<<(64-ipv6BlockBits))
	return netip.PrefixFrom(netip.AddrFrom16(octets), ipv6BlockBits)
}

// hash returns a uniformly distributed hash of the block, by the output
// function of the SplitMix64 generator.
func (b Block) hash() uint64 {
	x := uint64(b) + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
