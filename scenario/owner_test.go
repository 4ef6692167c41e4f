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

// enginesShard is the shard of the only group of the pool "engines".
var enginesShard = int(member.ShardOf("replica/engines/0-of-1"))

// ownerof puts the name of the host that owns the engines' shard into a
// variable, as a host sees it: ownerof NAME OPERATORS-ADDRESS [NOT-HOST]. With a
// last argument it waits until the owner is another host than that.
func ownerof(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: ownerof NAME OPERATORS-ADDRESS [NOT-HOST]")
	}
	client := admin.NewClient(args[1], settings.Secret(ts.Getenv("HAWTHORNWAY_OPERATOR_TOKEN")))
	end := time.Now().Add(stepTimeout)
	for time.Now().Before(end) {
		owner := ownerSeenBy(client)
		if owner != "" && (len(args) < 3 || owner != args[2]) {
			ts.Setenv(args[0], owner)
			return
		}
		time.Sleep(pollEvery)
	}
	ts.Fatalf("no owner within %v", stepTimeout)
}

// stepTimeout bounds the wait for one step of a scenario.
const stepTimeout = 30 * time.Second

func ownerSeenBy(client *admin.Client) string {
	status, err := client.Status(context.Background())
	if err != nil {
		return ""
	}
	for _, shard := range status.Shards {
		if shard.Shard == enginesShard {
			return string(shard.Owner)
		}
	}
	return ""
}

// decided waits until a decision about an engine is recorded: decided KV-ADDRESS
// TARGET.
func decided(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: decided KV-ADDRESS TARGET")
	}
	end := time.Now().Add(stepTimeout)
	for time.Now().Before(end) {
		if strings.Contains(recordOf(args[0], args[1]), `"decision"`) {
			return
		}
		time.Sleep(pollEvery)
	}
	ts.Fatalf("no decision about %s within %v", args[1], stepTimeout)
}

// recordOf returns the record of an engine, or an empty string.
func recordOf(address, target string) string {
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
