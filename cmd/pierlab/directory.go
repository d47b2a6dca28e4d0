package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"pierlink/internal/standin/directory"
)

// directoryCommand returns the command that runs a stand-in LDAP directory.
func directoryCommand() *cobra.Command {
	var listen, realm, password string
	var tenants, members int
	var plans []string
	cmd := &cobra.Command{Use: "directory", Short: "Run a stand-in LDAP directory of tenants and members", Args: cobra.NoArgs,
		Long: "Serve the tenants tenant-0, tenant-1, ... with members m0-0, m0-1, ... under dc=pier. All members have the same password.",
		RunE: func(*cobra.Command, []string) error {
			store := directory.NewStore()
			for tenant := range tenants {
				tenantDN := fmt.Sprintf("cn=tenant-%d,dc=pier", tenant)
				store.Put(tenantDN, map[string][]string{"objectClass": {"pierlinkTenant"}, "cn": {fmt.Sprint("tenant-", tenant)}, "pierlinkPlan": plans,
					"pierlinkWeight": {"1"}})
				for member := range members {
					account := fmt.Sprintf("m%d-%d", tenant, member)
					digest := sha256.Sum256([]byte(account + ":" + realm + ":" + password))
					store.Put(fmt.Sprintf("uid=%s,%s", account, tenantDN), map[string][]string{"objectClass": {"pierlinkMember"}, "uid": {account},
						"pierlinkTenant": {fmt.Sprint("tenant-", tenant)}, "pierlinkDigest": {hex.EncodeToString(digest[:])}})
				}
			}
			server, err := directory.Serve(listen, store)
			if err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "directory listens on %s: %d tenants with %d members each under dc=pier\n", server.Addr(), tenants, members)
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
			<-signals
			server.Stop()
			return nil
		}}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:3890", "address to listen on")
	flags.StringVar(&realm, "realm", "pierlink", "realm that the members' digests are computed with")
	flags.StringVar(&password, "password", "pier", "password of every member")
	flags.IntVar(&tenants, "tenants", 3, "number of tenants")
	flags.IntVar(&members, "members", 10, "number of members of each tenant")
	flags.StringSliceVar(&plans, "plan", []string{"live-lesson", "recorded-lesson"}, "plans that the tenants may play")
	return cmd
}
