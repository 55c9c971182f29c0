// Package steering answers which instances a caller should use, and for how
// long. It is a deterministic core without I/O.
//
// A look-up takes two steps. A Table maps the caller's block of addresses to a
// site; it is large, packed, and changed page by page. A Directory maps site
// and block to an answer through a ring of precomputed answers for each
// availability zone; it is small and rebuilt when the members change.
package steering
