package command

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/settings"
	"github.com/turmericfield/turmericfield/internal/tlsconfig"
)

const secretFileMode = 0o600

func newStandinAuthority() *cobra.Command {
	var directory string
	var addresses []string
	cmd := &cobra.Command{
		Use:   "authority",
		Short: "Write a test CA, and a certificate for the given addresses",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var p settings.Problems
			p.RequireNonEmpty("dir", directory)
			if err := p.Err(); err != nil {
				return errors.Mark(err, errUsage)
			}
			return writeAuthority(directory, addresses)
		},
	}
	cmd.Flags().StringVar(&directory, "dir", "", "directory for ca.pem, cert.pem and key.pem")
	cmd.Flags().StringSliceVar(&addresses, "address", nil, "IP addresses that the certificate is for")
	return cmd
}

func writeAuthority(directory string, addresses []string) error {
	authority, err := tlsconfig.NewAuthority()
	if err != nil {
		return err
	}
	certificate, key, err := authority.Issue(addresses...)
	if err != nil {
		return err
	}
	for name, text := range map[string]string{"ca.pem": authority.CertificatePEM, "cert.pem": certificate, "key.pem": key} {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(text), secretFileMode); err != nil {
			return err
		}
	}
	return nil
}
