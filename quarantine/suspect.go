package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"hawthornway/model"
)

// Suspect identifies what crashes may follow: a part of prompts, a whole request that comes
// again, all requests of a caller on a route, or the load of a model.
type Suspect string

// SessionSuspect returns the suspect for the last part of prompts, which belongs to a request or to
// its session.
func SessionSuspect(id string) Suspect { return Suspect(sessionPrefix + id) }

// PartSuspect returns the suspect for a part of prompts that requests of several sessions
// may share, such as a system prompt or a document.
func PartSuspect(id string) Suspect { return Suspect(partPrefix + id) }

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
	callerPrefix  = "caller:"
	partPrefix    = "part:"
	sessionPrefix = "session:"
)

// isRequest reports whether a suspect is a whole request.
func (s Suspect) isRequest() bool { return strings.HasPrefix(string(s), requestPrefix) }

// isPart reports whether a suspect is a part of prompts.
func (s Suspect) isPart() bool { return !s.isRequest() && !s.isCaller() }

func (s Suspect) isCaller() bool { return strings.HasPrefix(string(s), callerPrefix) }

// shared reports whether requests of several sessions may have a suspect in common.
func (s Suspect) shared() bool {
	return !s.isRequest() && !strings.HasPrefix(string(s), sessionPrefix)
}

// CallerSuspect returns the suspect for all requests with a key on a route, for a caller whose
// every request is new and crashes its target.
func CallerSuspect(route, key string) Suspect {
	h := sha256.New()
	_, _ = h.Write([]byte(key)) // never fails
	return Suspect(callerPrefix + route + ":" + hex.EncodeToString(h.Sum(nil)[:suspectBytes]))
}

// threshold is when and for how long a suspect is quarantined: after the crashes of a number
// of targets under a number of requests. One request may be sent to several targets.
type threshold struct {
	targets, requests int
	// unanswered is the number of further targets if none had begun to respond: requests that
	// wait there look the same.
	unanswered int
	// unexplained is set if only ends of targets count that no other quarantined suspect explains.
	unexplained bool
	duration    time.Duration
}

// Parts need two requests, since one has several parts. Callers have many requests beside
// those of others, so that they need more crashes, and are kept from targets for a short time.
var (
	requestThreshold = threshold{targets: 3, requests: 1, duration: Duration}
	partThreshold    = threshold{targets: 3, requests: 2, unanswered: 1, duration: Duration}
	callerThreshold  = threshold{targets: 6, requests: 3, unexplained: true, duration: callerDuration}
)

func (s Suspect) threshold() threshold {
	switch {
	case s.isRequest():
		return requestThreshold
	case s.isCaller():
		return callerThreshold
	default:
		return partThreshold
	}
}

// callerDuration is how long a caller is kept from the targets of a route.
const callerDuration = 30 * time.Second

// suspectBytes is the length of the hash in a request's suspect.
const suspectBytes = 16

// RequestSuspect returns the suspect for a request with the given parts of its prompt, which is the
// same when the caller with a key sends it again, to any host.
func RequestSuspect(host, uri, key string, body []byte, parts ...Suspect) Suspect {
	h := sha256.New()
	write := func(field []byte) {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(field)))) // never fails
		_, _ = h.Write(field)
	}
	for _, field := range []string{host, uri, key} {
		write([]byte(field))
	}
	write(body)
	for _, part := range parts {
		write([]byte(part))
	}
	return Suspect(requestPrefix + hex.EncodeToString(h.Sum(nil)[:suspectBytes]))
}
