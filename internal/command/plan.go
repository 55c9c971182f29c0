package command

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/intent"
)

// newPlan returns the group of commands that plan a change. Each sends an intent to
// the operators' API and prints the plan that it answers with.
func newPlan() *cobra.Command {
	var f clientFlags
	cmd := &cobra.Command{Use: "plan", Short: "Work out the plan of an intent; nothing changes until it is confirmed"}
	f.register(cmd)
	cmd.AddCommand(
		newPlanDrain(&f, intent.KindDrain), newPlanDrain(&f, intent.KindUndrain),
		newPlanApply(&f), newPlanShift(&f), newPlanUnshift(&f),
		newPlanAdmit(&f), newPlanCutOff(&f), newPlanWithdrawKey(&f), newPlanAssignBlocks(&f))
	return cmd
}

// submit asks for the plan of an intent and prints it. It returns an error if the
// plan has refusals.
func submit(cmd *cobra.Command, f *clientFlags, in intent.Intent) error {
	return submitWithKey(cmd, f, in, "")
}

// planWithKey is a plan and the generated key that the plan adds. The key can be
// shown only here, because the system keeps no more than a digest of its secret.
type planWithKey struct {
	intent.Plan
	Key string `json:"key,omitempty"`
}

// submitWithKey does the same as submit, and prints a generated key below the plan
// unless the key is empty or the plan has refusals.
func submitWithKey(cmd *cobra.Command, f *clientFlags, in intent.Intent, key string) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	plan, err := client.Plan(cmd.Context(), in)
	if err != nil {
		return err
	}
	if len(plan.Refusals) > 0 {
		key = ""
	}
	writeText := func(w io.Writer) {
		printPlan(w, plan)
		if key != "" {
			fmt.Fprintf(w, "key, shown only this once: %s\n", key)
		}
	}
	if err := f.print(cmd.OutOrStdout(), planWithKey{Plan: plan, Key: key}, writeText); err != nil {
		return err
	}
	if len(plan.Refusals) > 0 {
		return errors.Wrapf(errInvalid, "plan %s", plan.ID)
	}
	return nil
}

// printPlan writes a plan as text: its changes, how it changes the slots of
// services, and either its refusals or the command that confirms it.
func printPlan(w io.Writer, plan intent.Plan) {
	fmt.Fprintf(w, "plan %s on version %d\n", plan.ID, plan.BaseVersion)
	for _, change := range plan.Changes {
		fmt.Fprintf(w, "  change: %s\n", change)
	}
	for _, headroom := range plan.Headroom {
		fmt.Fprintf(w, "  slots: %s in %s: %d -> %d\n", headroom.Service, headroom.Region, headroom.SlotsBefore, headroom.SlotsAfter)
	}
	for _, refusal := range plan.Refusals {
		fmt.Fprintf(w, "  refused: %s\n", refusal)
	}
	if len(plan.Refusals) == 0 {
		fmt.Fprintf(w, "confirm with: turmericfield confirm %s\n", plan.ID)
	}
}

// newPlanDrain returns the command that drains a region, availability zone or
// target, or the one that ends the drain, depending on the kind.
func newPlanDrain(f *clientFlags, kind intent.Kind) *cobra.Command {
	short := "Take a site out of service"
	if kind == intent.KindUndrain {
		short = "Put a drained site back into service"
	}
	return &cobra.Command{
		Use:   string(kind) + " region|zone|target NAME",
		Short: short,
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return submit(cmd, f, intent.Intent{Kind: kind, Drain: &config.Drain{Kind: config.DrainKind(args[0]), Name: args[1]}})
		},
	}
}

// newPlanApply returns the command that replaces the whole configuration.
func newPlanApply(f *clientFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the whole configuration by a file's",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readDocument(args[0])
			if err != nil {
				return err
			}
			return submit(cmd, f, intent.Intent{Kind: intent.KindApply, Document: doc})
		},
	}
}

// newPlanShift returns the command that moves a share of a route's requests to
// another region, step by step.
func newPlanShift(f *clientFlags) *cobra.Command {
	var shift config.Shift
	cmd := &cobra.Command{
		Use:   "shift NAME",
		Short: "Move a share of a route's requests from one region to another",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			shift.Name = args[0]
			return submit(cmd, f, intent.Intent{Kind: intent.KindShift, Shift: &shift})
		},
	}
	cmd.Flags().StringVar(&shift.Route, "route", "", "route to shift")
	cmd.Flags().StringVar(&shift.From, "from", "", "region that loses requests")
	cmd.Flags().StringVar(&shift.To, "to", "", "region that gains requests")
	cmd.Flags().Float64Var(&shift.Cap, "cap", 0, "largest share that may be moved, 0 to 1")
	cmd.Flags().Float64Var(&shift.Step, "step", 0.05, "share that each ramp step adds, 0 to 1")
	cmd.Flags().IntVar(&shift.StepSeconds, "step-seconds", 30, "seconds between two ramp steps")
	return cmd
}

// newPlanUnshift returns the command that ends a shift.
func newPlanUnshift(f *clientFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "unshift NAME",
		Short: "End a shift",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return submit(cmd, f, intent.Intent{Kind: intent.KindUnshift, ShiftName: args[0]})
		},
	}
}

// newPlanAdmit returns the command that adds or replaces a workspace. Unless the
// operator gives the digest of a key, the command generates a key and prints it.
func newPlanAdmit(f *clientFlags) *cobra.Command {
	var workspace config.Workspace
	var keyID, keySHA256 string
	cmd := &cobra.Command{
		Use:   "admit WORKSPACE",
		Short: "Admit a workspace, or replace its rate, burst, routes and key",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			workspace.Name = args[0]
			key := ""
			if keySHA256 == "" {
				if keyID == "" {
					keyID = workspace.Name + "-" + randomText(keyIDBytes, hex.EncodeToString)
				}
				secret := randomText(keySecretBytes, base64.RawURLEncoding.EncodeToString)
				key, keySHA256 = keyID+"."+secret, config.HashSecret(secret)
			}
			workspace.Keys = []config.Key{{ID: keyID, SHA256: keySHA256}}
			return submitWithKey(cmd, f, intent.Intent{Kind: intent.KindAdmit, Workspace: &workspace}, key)
		},
	}
	cmd.Flags().Float64Var(&workspace.Rate, "rate", 0, "requests per second over the whole fleet")
	cmd.Flags().IntVar(&workspace.Burst, "burst", 0, "requests that may come at once")
	cmd.Flags().StringSliceVar(&workspace.Routes, "routes", nil, "routes that the workspace may use")
	cmd.Flags().StringVar(&keyID, "key-id", "", "public part of the key; generated if empty")
	cmd.Flags().StringVar(&keySHA256, "key-sha256", "", "SHA-256 of the key's secret, in hexadecimal; if empty, a key is generated here and shown once")
	return cmd
}

// Random bytes in the two parts of a generated key, before they are encoded as text.
const (
	keyIDBytes     = 4
	keySecretBytes = 32
)

// randomText returns random bytes as text in the given encoding.
func randomText(byteCount int, encode func([]byte) string) string {
	random := make([]byte, byteCount)
	_, _ = rand.Read(random) // crypto/rand never returns an error
	return encode(random)
}

// newPlanCutOff returns the command that refuses all requests of a workspace.
func newPlanCutOff(f *clientFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "cut-off WORKSPACE",
		Short: "Refuse every request of a workspace",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return submit(cmd, f, intent.Intent{Kind: intent.KindCutOff, WorkspaceName: args[0]})
		},
	}
}

// newPlanWithdrawKey returns the command that removes a key of a workspace.
func newPlanWithdrawKey(f *clientFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw-key KEY-ID",
		Short: "Withdraw one key of a workspace",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return submit(cmd, f, intent.Intent{Kind: intent.KindWithdrawKey, KeyID: args[0]})
		},
	}
}
