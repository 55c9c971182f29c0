// Package intent turns a change that an operator asks for (an intent) into a plan
// that shows its effects, and a plan that the operator confirms into the next
// configuration record. The package is deterministic and does no I/O.
//
// Some changes concern blocks. A block is a group of client addresses, an IPv4 /24 or
// an IPv6 /48 prefix, that is assigned to a site (see package steering).
package intent

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/turmericfield/turmericfield/internal/config"
)

// Kind selects the change that an intent makes.
type Kind string

// Kinds of intents, with the fields of Intent that they need.
const (
	// KindApply replaces the whole configuration by Document.
	KindApply Kind = "apply"
	// KindDrain takes the targets of the region, availability zone or target
	// named in Drain out of use for new work; KindUndrain ends that.
	KindDrain   Kind = "drain"
	KindUndrain Kind = "undrain"
	// KindShift begins to move a share of a route's requests from one region to
	// another, as Shift says; KindUnshift ends the shift named ShiftName.
	KindShift   Kind = "shift"
	KindUnshift Kind = "unshift"
	// KindAdmit adds Workspace, or replaces the workspace of that name.
	KindAdmit Kind = "admit"
	// KindCutOff refuses all requests of the workspace named WorkspaceName.
	KindCutOff Kind = "cut-off"
	// KindWithdrawKey removes the key KeyID from its workspace.
	KindWithdrawKey Kind = "withdraw-key"
	// KindAssignBlocks changes the sites of client address blocks, as Blocks says.
	KindAssignBlocks Kind = "assign-blocks"
)

// Intent is one change that an operator asks for. Only the fields that its kind
// needs are set.
type Intent struct {
	Kind      Kind              `json:"kind"`
	Drain     *config.Drain     `json:"drain,omitempty"`
	Shift     *config.Shift     `json:"shift,omitempty"`
	ShiftName string            `json:"shift_name,omitempty"`
	Workspace *config.Workspace `json:"workspace,omitempty"`
	// WorkspaceName is the workspace to cut off.
	WorkspaceName string           `json:"workspace_name,omitempty"`
	KeyID         string           `json:"key_id,omitempty"`
	Document      *config.Document `json:"document,omitempty"`
	// Blocks holds assignments and removals of client address blocks. Each element
	// holds those of one shard, as encoded by steering.PackShard.
	Blocks [][]byte `json:"blocks,omitempty"`
}

// Apply returns the document with the intent's change. If the intent cannot be
// applied or the result is invalid, the error is a config.Findings. The given
// document is not modified.
func (in Intent) Apply(current *config.Document) (*config.Document, error) {
	next, err := cloneDocument(current)
	if err != nil {
		return nil, err
	}
	if err := in.applyTo(next); err != nil {
		return nil, err
	}
	return next, config.Validate(next).Err()
}

// applyTo makes the intent's change in a document, without validating the result.
func (in Intent) applyTo(doc *config.Document) error {
	switch {
	case in.Kind == KindApply && in.Document != nil:
		*doc = *in.Document
		return nil
	case in.Kind == KindDrain && in.Drain != nil:
		return addDrain(doc, *in.Drain)
	case in.Kind == KindUndrain && in.Drain != nil:
		return removeDrain(doc, *in.Drain)
	case in.Kind == KindShift && in.Shift != nil:
		doc.Shifts = append(doc.Shifts, *in.Shift)
		return nil
	case in.Kind == KindUnshift && in.ShiftName != "":
		return removeShift(doc, in.ShiftName)
	case in.Kind == KindAdmit && in.Workspace != nil:
		return admit(doc, *in.Workspace)
	case in.Kind == KindCutOff && in.WorkspaceName != "":
		return cutOff(doc, in.WorkspaceName)
	case in.Kind == KindAssignBlocks && len(in.Blocks) > 0:
		return nil // blocks are not part of the document; see assignBlocks
	case in.Kind == KindWithdrawKey && in.KeyID != "":
		return withdrawKey(doc, in.KeyID)
	}
	return refuse("kind", "intent %q is unknown or lacks its fields", in.Kind)
}

// refuse returns config.Findings with one finding about the part of the intent or
// document at path.
func refuse(path, format string, args ...any) error {
	return config.Findings{{Path: path, Message: fmt.Sprintf(format, args...)}}
}

func addDrain(doc *config.Document, d config.Drain) error {
	if slices.Contains(doc.Drains, d) {
		return refuse("drain", "%s %q is drained already", d.Kind, d.Name)
	}
	doc.Drains = append(doc.Drains, d)
	return nil
}

func removeDrain(doc *config.Document, d config.Drain) error {
	i := slices.Index(doc.Drains, d)
	if i < 0 {
		return refuse("drain", "%s %q is not drained", d.Kind, d.Name)
	}
	doc.Drains = slices.Delete(doc.Drains, i, i+1)
	return nil
}

func removeShift(doc *config.Document, name string) error {
	i := slices.IndexFunc(doc.Shifts, func(s config.Shift) bool { return s.Name == name })
	if i < 0 {
		return refuse("shift", "shift %q does not exist", name)
	}
	doc.Shifts = slices.Delete(doc.Shifts, i, i+1)
	return nil
}

// admit adds a workspace, or replaces the one of the same name.
func admit(doc *config.Document, w config.Workspace) error {
	i := slices.IndexFunc(doc.Workspaces, func(o config.Workspace) bool { return o.Name == w.Name })
	if i < 0 {
		doc.Workspaces = append(doc.Workspaces, w)
		return nil
	}
	doc.Workspaces[i] = w
	return nil
}

func cutOff(doc *config.Document, name string) error {
	i := slices.IndexFunc(doc.Workspaces, func(w config.Workspace) bool { return w.Name == name })
	if i < 0 {
		return refuse("workspace", "workspace %q does not exist", name)
	}
	doc.Workspaces[i].CutOff = true
	return nil
}

func withdrawKey(doc *config.Document, id string) error {
	for i := range doc.Workspaces {
		w := &doc.Workspaces[i]
		j := slices.IndexFunc(w.Keys, func(k config.Key) bool { return k.ID == id })
		if j >= 0 {
			w.Keys = slices.Delete(w.Keys, j, j+1)
			return nil
		}
	}
	return refuse("key", "key %q does not exist", id)
}

// cloneDocument makes a deep copy of a document by way of JSON. No field is lost,
// as documents are also stored as JSON.
func cloneDocument(doc *config.Document) (*config.Document, error) {
	text, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	next := &config.Document{}
	return next, json.Unmarshal(text, next)
}
