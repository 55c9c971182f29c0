package command

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/settings"
	"github.com/turmericfield/turmericfield/internal/tlsconfig"
)

// secretFileMode lets only the owner read and write a file: one of the files is
// a private key.
const secretFileMode = 0o600

// newStandinAuthority returns the command that creates certificates for trying
// the system with TLS.
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

// writeAuthority writes the certificate of a new CA, and a certificate for the IP
// addresses with its private key, as PEM files into the directory.
func writeAuthority(directory string, addresses []string) error {
	authority, err := tlsconfig.NewAuthority()
	if err != nil {
		return err
	}
	certificate, key, err := authority.Issue(addresses...)
	if err != nil {
		return err
	}
	for name, pem := range map[string]string{"ca.pem": authority.CertificatePEM, "cert.pem": certificate, "key.pem": key} {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(pem), secretFileMode); err != nil {
			return err
		}
	}
	return nil
}
