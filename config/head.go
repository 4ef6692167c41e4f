package config

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/keyvalue"
)

const (
	headKey    = "config/head"
	partPrefix = "config/part/"
	// maxPartBytes is below the key-value service's limit for a value.
	maxPartBytes = 512 << 10
	// maxHistory is the number of accepted changes that the head keeps.
	maxHistory = 64
	// maxHistoryFiles limits the number of file names in the history.
	maxHistoryFiles = 4096
)

// Accepted is an accepted change of the configuration.
type Accepted struct {
	Revision Revision  `json:"revision"`
	Change   ChangeID  `json:"change"`
	Author   Author    `json:"author"`
	At       time.Time `json:"at"`
	// Content is the hash of the encoded files.
	Content Hash `json:"content"`
	// Files lists the files that were added, removed or changed.
	Files []string `json:"files"`
}

// head is the value of the key config/head. It describes the current revision
// and points to the parts that hold its files.
type head struct {
	Accepted
	// Parts are the hashes of the parts of the content, in order.
	Parts []Hash `json:"parts"`
	// Hashes are the hashes of the files by file name.
	Hashes map[string]Hash `json:"hashes"`
	// History holds the latest changes, newest first, including this one.
	History []Accepted `json:"history"`

	// keyRevision is the key's revision in the key-value service, or zero if
	// there is no head.
	keyRevision keyvalue.Revision
}

func parseHead(entry keyvalue.Entry) (head, error) {
	var h head
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return head{}, trace.Wrap(err, "key %q does not hold a head", entry.Key)
	}
	h.keyRevision = entry.Revision
	return h, nil
}

// find returns the change with an ID from the history.
func (h *head) find(change ChangeID) (Accepted, bool) {
	for _, a := range h.History {
		if a.Change == change {
			return a, true
		}
	}
	return Accepted{}, false
}

// next returns the head that follows when a submission is accepted.
func (h *head) next(s Submission, c content, now time.Time) head {
	accepted := Accepted{
		Revision: h.Revision + 1,
		Change:   s.Change,
		Author:   s.Author,
		At:       now.UTC(),
		Content:  c.hash,
		Files:    changedFiles(h.Hashes, c.hashes),
	}
	history := append([]Accepted{accepted}, h.History...)
	return head{
		Accepted:    accepted,
		Parts:       c.partHashes(),
		Hashes:      c.hashes,
		History:     trimHistory(history),
		keyRevision: h.keyRevision,
	}
}

// trimHistory returns the newest changes of a history that fit into the head.
func trimHistory(history []Accepted) []Accepted {
	names := 0
	for i, a := range history {
		names += len(a.Files)
		if i == maxHistory || (i > 0 && names > maxHistoryFiles) {
			return history[:i]
		}
	}
	return history
}

// changedFiles returns the sorted names of the files whose hashes differ.
func changedFiles(before, after map[string]Hash) []string {
	changed := map[string]bool{}
	for name, hash := range before {
		changed[name] = after[name] != hash
	}
	for name, hash := range after {
		changed[name] = before[name] != hash
	}
	return trueKeys(changed)
}
