package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"hawthornway/model"
)

// Suspect identifies what crashes may follow: a part of prompts, a whole request that comes
// again, or the load of a model.
type Suspect string

// PartSuspect returns the suspect for a part of prompts that requests of several sessions
// may share, such as a system prompt or a document.
func PartSuspect(id string) Suspect { return Suspect("part:" + id) }

// ModelSuspect returns the suspect for a model whose loads fail or end engines.
func ModelSuspect(name model.Name) Suspect { return Suspect(modelPrefix + string(name)) }

// Model returns the model of a ModelSuspect, and false for other suspects.
func (s Suspect) Model() (model.Name, bool) {
	name, ok := strings.CutPrefix(string(s), modelPrefix)
	return model.Name(name), ok
}

const (
	modelPrefix   = "model:"
	requestPrefix = "request:"
)

// isRequest reports whether a suspect is a whole request.
func (s Suspect) isRequest() bool { return strings.HasPrefix(string(s), requestPrefix) }

// suspectBytes is the length of the hash in a request's suspect.
const suspectBytes = 16

// RequestSuspect returns the suspect for a request, which is the same when the caller with a
// key sends it again, to any host.
func RequestSuspect(host, uri, key string, body []byte) Suspect {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(host), []byte(uri), []byte(key), body} {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(field)))) // never fails
		_, _ = h.Write(field)
	}
	return Suspect(requestPrefix + hex.EncodeToString(h.Sum(nil)[:suspectBytes]))
}
