package entry

import (
	"net/http"
	"slices"
	"strings"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/invariant"
)

// recheckKey checks the key again before a try, because an earlier try, a wait for
// a free slot or a pause of the process may have taken long since the request
// was admitted. It returns why the try must not be made, or nil.
func (c *call) recheckKey() *refusal {
	if c.route.Open {
		return nil
	}
	workspace, refused := c.authenticate(c.Snapshot(), c.route, c.request)
	if refused != nil {
		return refused
	}
	key := c.request.Header.Get(KeyHeader)
	if workspace.Name != c.placementRequest.Workspace {
		return &refusal{http.StatusUnauthorized, "unknown-key", "the key has changed its workspace", 0}
	}
	c.Invariants.Check(listsKey(workspace, key) && !workspace.CutOff, invariant.KeyOfWorkspace,
		"request %s would run for workspace %s without its key", c.requestID, workspace.Name)
	return nil
}

// listsKey reports whether a workspace has a key. It looks in the list of the
// configuration document, as an independent check of the index that
// authenticate uses.
func listsKey(w *config.Workspace, key string) bool {
	id, secret, _ := strings.Cut(key, ".")
	return slices.Contains(w.Keys, config.Key{ID: id, SHA256: config.HashSecret(secret)})
}
