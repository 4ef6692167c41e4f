package admin

import (
	"errors"
	"net/http"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"hawthornway/config"
	"hawthornway/fleet"
)

// Evacuation is the state of a failure domain after a call to begin or to end its evacuation.
type Evacuation struct {
	Domain    fleet.DomainID `json:"domain"`
	Evacuated bool           `json:"evacuated"`
	// Revision is that of the configuration that says so.
	Revision config.Revision `json:"revision"`
	// Changed is unset if the domain was in that state before.
	Changed bool `json:"changed"`
}

type wireAuthor struct {
	Author config.Author `json:"author"`
}

// evacuationAuthor is the author of changes by callers that don't name themselves.
const evacuationAuthor config.Author = "operator"

// maxEvacuationTries limits how often an evacuation is applied anew because another change came
// first.
const maxEvacuationTries = 3

func (h *handler) evacuate(r *http.Request) (any, error) { return h.changeEvacuation(r, true) }

func (h *handler) endEvacuation(r *http.Request) (any, error) { return h.changeEvacuation(r, false) }

// changeEvacuation applies the configuration in force with a domain evacuated or not.
func (h *handler) changeEvacuation(r *http.Request, evacuated bool) (any, error) {
	domain := fleet.DomainID(r.PathValue("domain"))
	var wire wireAuthor
	if err := readJSON(r, maxBodyBytes, &wire); err != nil {
		return nil, err
	}
	if wire.Author == "" {
		wire.Author = evacuationAuthor
	}
	change := config.Evacuate
	if !evacuated {
		change = config.EndEvacuation
	}
	for try := 1; ; try++ {
		snapshot := h.Configs.Current()
		if snapshot == nil {
			return nil, trace.NotFound("no configuration is known")
		}
		result := Evacuation{Domain: domain, Evacuated: evacuated, Revision: snapshot.Revision()}
		files, changed, err := change(snapshot.Files(), domain)
		if err != nil || !changed {
			return result, trace.Wrap(err)
		}
		accepted, err := h.Configs.Apply(r.Context(), config.Submission{
			Files: files, Base: snapshot.Revision(), Change: config.ChangeID(uuid.NewString()), Author: wire.Author,
		})
		var conflict *config.ConflictError
		if errors.As(err, &conflict) && try < maxEvacuationTries {
			continue // this host may learn of the other change only by that
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
		h.Log.Info("admin: evacuation changed", "domain", domain, "evacuated", evacuated, "revision", accepted.Revision, "author", wire.Author, "from", r.RemoteAddr)
		result.Revision, result.Changed = accepted.Revision, true
		return result, nil
	}
}
