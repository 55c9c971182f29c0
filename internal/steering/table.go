package steering

import (
	"math/bits"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/gaissmai/bart"
)

// SiteID is the index of a site in the configuration's list of sites.
type SiteID uint16

// NoSite stands for no site: assigning it removes a block or prefix from a
// table.
const NoSite SiteID = 1<<16 - 1

const (
	pageBits   = 8 // the blocks of a page differ only in their last 8 bits
	pageBlocks = 1 << pageBits
	ipv4Pages  = 1 << (ipv4BlockBits - pageBits)
	// ipv6BucketCount is the number of hash buckets of IPv6 pages. IPv4 pages
	// are indexed directly; the space of IPv6 pages is too large for that.
	ipv6BucketCount = 1 << 12
)

// Table maps client address blocks to sites. Look-ups take no lock and allocate
// no memory. Writers replace one page of 256 neighbouring blocks at a time.
// Prefixes shorter than a block's, which cover many blocks, are kept separately;
// they apply to addresses whose block is not in the table.
type Table struct {
	ipv4          [ipv4Pages]atomic.Pointer[page]
	ipv6          [ipv6BucketCount]atomic.Pointer[ipv6Bucket]
	shortPrefixes atomic.Pointer[bart.Table[SiteID]] // prefixes shorter than a block's

	mu     sync.Mutex // serializes writers
	blocks int        // number of blocks in ipv4 and ipv6
}

// page holds the sites of up to 256 neighbouring blocks: a bitmap of the blocks
// that are present, and the sites of these in the order of the blocks.
type page struct {
	present [pageBlocks / 64]uint64
	sites   []SiteID
}

// ipv6Bucket holds the IPv6 pages whose keys have the same hash modulo
// ipv6BucketCount.
type ipv6Bucket struct {
	keys  []Block // for each page, its blocks without their last 8 bits
	pages []*page
}

// Assignment is a change of one block in a table.
type Assignment struct {
	Block Block
	// Site is the block's new site; NoSite removes the block.
	Site SiteID
}

// Lookup returns the site of an address, and whether there is one.
func (t *Table) Lookup(addr netip.Addr) (SiteID, bool) {
	if site, ok := t.lookupBlock(BlockOf(addr)); ok {
		return site, true
	}
	if shortPrefixes := t.shortPrefixes.Load(); shortPrefixes != nil {
		if site, ok := shortPrefixes.Lookup(addr.Unmap()); ok {
			return site, true
		}
	}
	return NoSite, false
}

func (t *Table) lookupBlock(b Block) (SiteID, bool) {
	p := t.page(b >> pageBits)
	if p == nil {
		return NoSite, false
	}
	return p.siteAt(uint8(b))
}

// page returns the page with the given key (a block shifted right by pageBits),
// or nil if there is none.
func (t *Table) page(key Block) *page {
	if key&(ipv6Flag>>pageBits) == 0 {
		return t.ipv4[key].Load()
	}
	s := t.ipv6[key.hash()%ipv6BucketCount].Load()
	if s == nil {
		return nil
	}
	for i, k := range s.keys {
		if k == key {
			return s.pages[i]
		}
	}
	return nil
}

// siteAt returns the site of the page's block at offset, which is the last 8 bits of
// the Block value, and whether the block is present.
func (p *page) siteAt(offset uint8) (SiteID, bool) {
	word, bit := offset/64, uint64(1)<<(offset%64)
	if p.present[word]&bit == 0 {
		return NoSite, false
	}
	return p.sites[p.rank(offset)], true
}

// rank returns the number of present blocks before offset, which is the index
// in sites of the block at offset.
func (p *page) rank(offset uint8) int {
	word := int(offset / 64)
	n := bits.OnesCount64(p.present[word] & (1<<(offset%64) - 1))
	for i := range word {
		n += bits.OnesCount64(p.present[i])
	}
	return n
}

// Assign applies changes in order. Successive changes that belong to the same
// page cost one replacement of that page, so sorted changes are the cheapest.
func (t *Table) Assign(changes []Assignment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(changes) > 0 {
		key := changes[0].Block >> pageBits
		n := 1
		for n < len(changes) && changes[n].Block>>pageBits == key {
			n++
		}
		old := t.page(key)
		next := old.withChanges(changes[:n])
		t.blocks += next.blockCount() - old.blockCount()
		t.setPage(key, next)
		changes = changes[n:]
	}
}

// AssignPrefix sets the site of a prefix that is shorter than a block's; NoSite
// removes the prefix.
func (t *Table) AssignPrefix(prefix netip.Prefix, site SiteID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shortPrefixes := t.shortPrefixes.Load()
	if shortPrefixes == nil {
		shortPrefixes = &bart.Table[SiteID]{}
	}
	if site == NoSite {
		shortPrefixes = shortPrefixes.DeletePersist(prefix)
	} else {
		shortPrefixes = shortPrefixes.InsertPersist(prefix, site)
	}
	t.shortPrefixes.Store(shortPrefixes)
}

// Blocks returns the number of blocks that have an entry of their own in the table.
// Blocks that have a site only through a shorter prefix (see AssignPrefix) are not
// counted.
func (t *Table) Blocks() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.blocks
}

// withChanges returns a copy of the page, which may be nil, with the changes
// applied. The copy is nil if no block is left in it.
func (p *page) withChanges(changes []Assignment) *page {
	var all [pageBlocks]SiteID
	for i := range all {
		all[i] = NoSite
		if p != nil {
			if site, ok := p.siteAt(uint8(i)); ok {
				all[i] = site
			}
		}
	}
	for _, c := range changes {
		all[uint8(c.Block)] = c.Site
	}
	next := &page{}
	n := 0
	for i, site := range all {
		if site != NoSite {
			next.present[i/64] |= 1 << (i % 64)
			all[n] = site
			n++
		}
	}
	if n == 0 {
		return nil
	}
	next.sites = append(make([]SiteID, 0, n), all[:n]...)
	return next
}

// blockCount returns the number of present blocks; the page may be nil.
func (p *page) blockCount() int {
	if p == nil {
		return 0
	}
	return len(p.sites)
}

// setPage replaces the page with the given key; a nil page removes it.
func (t *Table) setPage(key Block, p *page) {
	if key&(ipv6Flag>>pageBits) == 0 {
		t.ipv4[key].Store(p)
		return
	}
	bucket := &t.ipv6[key.hash()%ipv6BucketCount]
	next := &ipv6Bucket{}
	if old := bucket.Load(); old != nil {
		for i, k := range old.keys {
			if k != key {
				next.keys = append(next.keys, k)
				next.pages = append(next.pages, old.pages[i])
			}
		}
	}
	if p != nil {
		next.keys = append(next.keys, key)
		next.pages = append(next.pages, p)
	}
	bucket.Store(next)
}
