// Package steering tells a client which instances of the fleet it should send
// its requests to, and how long it may cache that answer. The package is
// deterministic and does no I/O.
//
// A look-up by client address takes two steps:
//
//   - A Table maps the address to a site, the location of the client. It
//     holds millions of address blocks (IPv4 /24 and IPv6 /48 prefixes) in packed
//     form and is changed in place, one page of neighbouring blocks at a time.
//   - A Directory maps the site to an availability zone and, by a hash of the
//     address block, to instances of that zone. The instances of every hash
//     value (slot) are ranked in advance. The Directory is small and is rebuilt
//     whenever the instances of the fleet change.
package steering
