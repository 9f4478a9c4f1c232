package commander

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/authenticator"
	"github.com/gypsumwharf/gypsumwharf/storer"
)

func newKey() *cobra.Command {
	c := &cobra.Command{Use: "key", Short: "Make and withdraw access keys"}
	asCommandGroup(c)
	c.AddCommand(newKeyNew(), newKeyWithdraw())
	return c
}

type keyOutput struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func newKeyNew() *cobra.Command {
	return &cobra.Command{
		Use:   "new",
		Short: "Make a key and the hash that a contract declares; the key is shown only here",
		Args:  noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			key := "gw-" + rand.Text()
			out := keyOutput{Key: key, Hash: assembler.HashKey(key)}
			return printOutput(c, out, func(w io.Writer) { fmt.Fprintf(w, "key:  %s\nhash: %s\n", out.Key, out.Hash) })
		},
	}
}

type withdrawOutput struct {
	Reached      []string `json:"reached"`
	NotReachable []string `json:"not-reachable"` // data centres
}

// newKeyWithdraw withdraws a key at one instance of every data centre, because the
// withdrawal cannot reach a data centre that is cut off in any other way.
func newKeyWithdraw() *cobra.Command {
	c := &cobra.Command{
		Use:   "withdraw HASH",
		Short: "Withdraw the key with a hash in every data centre",
		Args:  oneArgument("hash of a key"),
	}
	flags := newInstanceFlags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		if _, err := authenticator.ParseHash(args[0]); err != nil {
			return errors.Wrapf(errUsage, "%q is not a hash of a key", args[0])
		}
		out, err := flags.withdraw(c.Context(), args[0])
		if err != nil {
			return err
		}
		err = printOutput(c, out, func(w io.Writer) {
			fmt.Fprintf(w, "withdrawn at %d instances\n", len(out.Reached))
			if len(out.NotReachable) > 0 {
				fmt.Fprintf(w, "data centres not reached: %s\n", strings.Join(out.NotReachable, ", "))
			}
		})
		if err == nil && len(out.NotReachable) > 0 {
			err = errors.Wrapf(errIncomplete, "data centres not reached: %s", strings.Join(out.NotReachable, ", "))
		}
		return err
	}
	return c
}

func (f instanceFlags) withdraw(ctx context.Context, hash string) (withdrawOutput, error) {
	groups, err := f.groupByDataCentre(ctx)
	if err != nil {
		return withdrawOutput{}, err
	}
	body, err := json.Marshal(assembler.WithdrawalOrder{Hash: hash, Operator: author()})
	if err != nil {
		return withdrawOutput{}, errors.Wrap(err, "encode withdrawal")
	}
	out := withdrawOutput{Reached: []string{}, NotReachable: []string{}}
	var lastErr error
	for _, group := range groups {
		reached := false
		for _, address := range group.addresses {
			result, err := call[assembler.WithdrawalResult](ctx, http.MethodPost, address, "/keys/withdraw", *f.token, body)
			if err != nil {
				lastErr = err
				continue
			}
			out.Reached = append(out.Reached, result.Reached...)
			reached = true
			break
		}
		if !reached {
			out.NotReachable = append(out.NotReachable, group.dataCentre)
		}
	}
	slices.Sort(out.Reached)
	out.Reached = slices.Compact(out.Reached)
	if len(out.Reached) == 0 {
		return out, errors.Wrapf(errIncomplete, "no instance took the withdrawal: %v", lastErr)
	}
	return out, nil
}

// dataCentreGroup is a data centre with the operator addresses of its instances.
type dataCentreGroup struct {
	dataCentre string
	addresses  []string
}

// groupByDataCentre groups the instances that the platform lists by data centre.
// Instances given by --instance replace that list and form one group each.
func (f instanceFlags) groupByDataCentre(ctx context.Context) ([]dataCentreGroup, error) {
	var groups []dataCentreGroup
	for _, address := range *f.instances {
		groups = append(groups, dataCentreGroup{"of instance " + address, []string{address}})
	}
	if len(groups) > 0 {
		return groups, nil
	}
	client := storer.NewClient(*f.platform)
	defer client.Close()
	list, err := client.Instances(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "list instances (give --instance for one of each data centre)")
	}
	byDataCentre := map[string][]string{}
	// A declared data centre without a listed instance is reported as not reached.
	if current, err := assembler.ReadConfiguration(ctx, client); err == nil {
		for _, d := range current.Declaration.DataCentres {
			byDataCentre[d.Name] = nil
		}
	}
	for _, instance := range list {
		byDataCentre[instance.DataCentre] = append(byDataCentre[instance.DataCentre], instance.OperatorAddress)
	}
	for name, addresses := range byDataCentre {
		groups = append(groups, dataCentreGroup{name, addresses})
	}
	slices.SortFunc(groups, func(a, b dataCentreGroup) int { return strings.Compare(a.dataCentre, b.dataCentre) })
	return groups, nil
}
