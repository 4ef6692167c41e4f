package scenario

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hawthornway/admin"
	"hawthornway/member"
	"hawthornway/settings"
)

// engineShard is the shard of the only group of the pool "engines".
var engineShard = int(member.ShardOf("replica/engines/0-of-1"))

// ownerOfCommand implements owner-of NAME OPERATORS-ADDRESS [NOT-HOST]. It sets the
// variable NAME to the host that owns engineShard, according to the status of the
// host at OPERATORS-ADDRESS. With NOT-HOST it waits until the owner
// is another host.
func ownerOfCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: owner-of NAME OPERATORS-ADDRESS [NOT-HOST]")
	}
	client := admin.NewClient(args[1], settings.Secret(ts.Getenv("HAWTHORNWAY_OPERATOR_TOKEN")))
	deadline := time.Now().Add(stepTimeout)
	for time.Now().Before(deadline) {
		owner := engineShardOwner(client)
		if owner != "" && (len(args) < 3 || owner != args[2]) {
			ts.Setenv(args[0], owner)
			return
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("no owner within %v", stepTimeout)
}

// stepTimeout limits the wait for one step of a scenario.
const stepTimeout = 30 * time.Second

// engineShardOwner returns the host that owns engineShard, or an empty string if
// it is unknown.
func engineShardOwner(client *admin.Client) string {
	status, err := client.Status(context.Background())
	if err != nil {
		return ""
	}
	for _, shard := range status.Shards {
		if shard.Shard == engineShard {
			return string(shard.Owner)
		}
	}
	return ""
}

// waitDecisionCommand implements wait-decision KV-ADDRESS TARGET. It waits until
// the record of an engine in the key-value service holds a decision.
func waitDecisionCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: wait-decision KV-ADDRESS TARGET")
	}
	deadline := time.Now().Add(stepTimeout)
	for time.Now().Before(deadline) {
		if strings.Contains(engineRecord(args[0], args[1]), `"decision"`) {
			return
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("no decision recorded for %s within %v", args[1], stepTimeout)
}

// engineRecord returns the record of an engine in the key-value service, or an
// empty string if it can't be read.
func engineRecord(address, target string) string {
	response, err := http.Get("http://" + address + "/v1/kv?key=replica/" + target)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	var entry struct{ Value []byte }
	if err := json.Unmarshal(text, &entry); err != nil {
		return ""
	}
	return string(entry.Value)
}
