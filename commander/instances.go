package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/connector"
	"github.com/gypsumwharf/gypsumwharf/storer"
)

const (
	// operatorTimeout bounds a request to one instance.
	operatorTimeout = 3 * time.Second
	// maxOperatorBytes bounds its answer, such as a timeline.
	maxOperatorBytes = 64 << 20
)

// operatorClient sends requests to the operators' addresses of instances.
var operatorClient = connector.NewClient(operatorTimeout, connector.Options{Dial: new(net.Dialer).DialContext})

// operatorAddresses returns the operator addresses given by --instance, or those
// that the platform lists.
func operatorAddresses(ctx context.Context, given []string, platform string) ([]string, error) {
	if len(given) > 0 {
		return given, nil
	}
	client := storer.NewClient(platform)
	defer client.Close()
	list, err := client.Instances(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "list instances (give --instance to ask one directly)")
	}
	var addresses []string
	for _, instance := range list {
		addresses = append(addresses, instance.OperatorAddress)
	}
	sort.Strings(addresses)
	return addresses, nil
}

// query gets one path of an instance's operator interface and decodes the answer.
func query[T any](ctx context.Context, address, path, token string) (T, error) {
	return call[T](ctx, http.MethodGet, address, path, token, nil)
}

// call calls an instance's operator interface, with a JSON body unless it is nil, and decodes
// the answer.
func call[T any](ctx context.Context, method, address, path, token string, body []byte) (T, error) {
	var v T
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return v, errors.Wrapf(err, "ask %s", address)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := operatorClient.Do(request)
	if err != nil {
		return v, errors.Wrapf(err, "ask %s", address)
	}
	data, err := connector.ReadBody(response, maxOperatorBytes)
	if err != nil {
		return v, errors.Wrapf(err, "answer of %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return v, errors.Wrapf(errRefused, "ask %s: status %d", address, response.StatusCode)
	}
	return v, errors.Wrapf(json.Unmarshal(data, &v), "answer of %s", address)
}

// instanceAnswer is one instance's answer or the reason why there is none.
type instanceAnswer[T any] struct {
	Address string `json:"address"`
	Answer  *T     `json:"answer,omitempty"`
	Error   string `json:"error,omitempty"`
	// Refused reports that the instance is reachable but answered with an error status.
	Refused bool `json:"refused,omitempty"`
}

func queryAll[T any](ctx context.Context, addresses []string, path, token string) []instanceAnswer[T] {
	answers := make([]instanceAnswer[T], len(addresses))
	done := make(chan struct{})
	for n, address := range addresses {
		go func() {
			defer func() { done <- struct{}{} }()
			answers[n].Address = address
			v, err := query[T](ctx, address, path, token)
			if err != nil {
				answers[n].Error, answers[n].Refused = err.Error(), errors.Is(err, errRefused)
				return
			}
			answers[n].Answer = &v
		}()
	}
	for range addresses {
		<-done
	}
	return answers
}

// instanceFlags are the flags of commands that send requests to instances.
type instanceFlags struct {
	platform  *string
	instances *[]string
	token     *string
}

func newInstanceFlags(c *cobra.Command) instanceFlags {
	return instanceFlags{
		platform:  platformFlag(c),
		instances: c.Flags().StringSlice("instance", nil, "operator address of an instance, instead of all that the platform lists"),
		token:     c.Flags().String("token", "", "operator token"),
	}
}

func newStatus() *cobra.Command {
	c := &cobra.Command{Use: "status", Short: "Show the state of every instance", Args: noArguments}
	flags := newInstanceFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		addresses, err := operatorAddresses(c.Context(), *flags.instances, *flags.platform)
		if err != nil {
			return err
		}
		answers := queryAll[assembler.Status](c.Context(), addresses, "/status", *flags.token)
		return printOutput(c, answers, func(w io.Writer) { writeStatus(w, answers) })
	}
	return c
}

func writeStatus(w io.Writer, answers []instanceAnswer[assembler.Status]) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tDATA CENTRE\tREADY\tGENERATION\tRUNNING\tADDRESS")
	for _, a := range answers {
		if a.Answer == nil {
			fmt.Fprintf(table, "?\t?\tno answer\t-\t-\t%s\n", a.Address)
			continue
		}
		ready := "yes"
		if !a.Answer.Ready {
			ready = a.Answer.Reason
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\n", a.Answer.Instance, a.Answer.DataCentre, ready, a.Answer.Generation, a.Answer.Running, a.Address)
	}
	table.Flush()
}
