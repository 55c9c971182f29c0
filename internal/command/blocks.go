package command

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/intent"
	"github.com/turmericfield/turmericfield/internal/steering"
)

// maxBlockFindings is the number of findings after which the rest of a file of
// block assignments is not read.
const maxBlockFindings = 100

// newPlanAssignBlocks returns the command that plans which sites blocks of client
// addresses are steered to.
func newPlanAssignBlocks(f *clientFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "assign-blocks FILE",
		Short: "Assign blocks of clients to sites",
		Long: "Assign blocks of clients to sites. Each line of the file holds a block, an\n" +
			"IPv4 /24 or an IPv6 /48, and the name of its site, or - to remove the block.\n" +
			"Blocks that the file does not name stay as they are.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			blocks, err := readBlocks(args[0])
			if err != nil {
				return err
			}
			return submit(cmd, f, intent.Intent{Kind: intent.KindAssignBlocks, Blocks: blocks})
		},
	}
}

// readBlocks reads a file of block assignments and returns one packed shard for
// each shard of the address space that has an assignment. Its error holds the
// findings of all lines.
func readBlocks(name string) ([][]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	shards := map[int][]steering.NamedAssignment{}
	assignedLine := map[steering.Block]int{}
	var findings config.Findings
	scanner := bufio.NewScanner(file)
	for lineNumber := 1; scanner.Scan() && len(findings) < maxBlockFindings; lineNumber++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		assignment, message := parseAssignment(text)
		if message == "" && assignedLine[assignment.Block] != 0 {
			message = fmt.Sprintf("block %s stands on line %d already", assignment.Block.Prefix(), assignedLine[assignment.Block])
		}
		if message != "" {
			findings = append(findings, config.Finding{File: name, Line: lineNumber, Path: "block", Message: message})
			continue
		}
		assignedLine[assignment.Block] = lineNumber
		shards[assignment.Block.Shard()] = append(shards[assignment.Block.Shard()], assignment)
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if len(findings) == 0 && len(shards) == 0 {
		findings = append(findings, config.Finding{File: name, Path: "file", Message: "holds no block"})
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return packShards(shards)
}

// parseAssignment parses one line of a file of block assignments. It returns a
// message that is empty if the line is valid. An assignment without a site
// removes the block.
func parseAssignment(text string) (steering.NamedAssignment, string) {
	var assignment steering.NamedAssignment
	fields := strings.Fields(text)
	if len(fields) != 2 {
		return assignment, fmt.Sprintf("%q is not a block and a site", text)
	}
	block, err := steering.ParseBlock(fields[0])
	if err != nil {
		return assignment, err.Error()
	}
	assignment.Block = block
	if fields[1] != "-" {
		assignment.Site = fields[1]
	}
	return assignment, ""
}

// packShards encodes the assignments of each shard. The encoded shards are sorted,
// so that the same file gives the same intent each time.
func packShards(shards map[int][]steering.NamedAssignment) ([][]byte, error) {
	var packed [][]byte
	for shard, assignments := range shards {
		data, err := steering.PackShard(shard, assignments)
		if err != nil {
			return nil, err
		}
		packed = append(packed, data)
	}
	slices.SortFunc(packed, slices.Compare[[]byte])
	return packed, nil
}
