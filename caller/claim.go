package caller

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"net/http"
	"time"

	"hawthornway/call"
	"hawthornway/claim"
	"hawthornway/outcome"
)

// claimEndTimeout is the timeout of the write that ends a claim; the caller waits
// for it.
const claimEndTimeout = 2 * time.Second

// HeaderReplayed is set on a response that is replayed from an earlier call.
const HeaderReplayed = "Hawthornway-Replayed"

// ClaimFilter returns a filter that lets each keyed call to a route that is not
// idempotent run at most once over all hosts.
func ClaimFilter(claims claim.Claims, log *slog.Logger) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			s, ok := c.Subject.(*call.Service)
			if !ok || s.Route.Idempotent || s.IdempotencyKey == "" {
				return next(ctx, c)
			}
			decision, err := beginClaim(ctx, claims, c, s)
			if err != nil {
				log.Error("caller: cannot read the claim record", "request", c.ID, "error", err)
				return outcome.Unknown{Reason: outcome.ReasonClaimUnsafe, Detail: "the call's claim can't be read"}
			}
			switch d := decision.(type) {
			case claim.Replay:
				return replayResponse(c, d.Response)
			case claim.Refuse:
				return claimRefusal(d)
			case claim.Run:
				return runClaimed(ctx, next, c, d.Claim, log)
			default:
				panic("caller: unknown claim decision")
			}
		}
	}
}

func beginClaim(ctx context.Context, claims claim.Claims, c *call.Call, s *call.Service) (claim.Decision, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	return claims.Begin(ctx, claim.Request{
		Route:   string(s.Route.Name),
		Team:    c.Team,
		Key:     s.IdempotencyKey,
		Digest:  requestDigest(c),
		Attempt: string(c.ID),
	})
}

// requestDigest returns a hash of the method, URI and body. It distinguishes a
// repeated request from a different one with the same idempotency key.
func requestDigest(c *call.Call) [sha256.Size]byte {
	sum := sha256.New()
	for _, part := range []string{c.Request.Method, c.Request.URL.RequestURI()} {
		partSum := sha256.Sum256([]byte(part))
		sum.Write(partSum[:])
	}
	sum.Write(c.Body)
	return [sha256.Size]byte(sum.Sum(nil))
}

// claimRefusal returns the outcome of a refused claim, with ReasonKeyReused if
// the key was used for another request before.
func claimRefusal(d claim.Refuse) outcome.Outcome {
	notRun, ok := d.Outcome.(outcome.NotRun)
	if ok && d.Status == http.StatusUnprocessableEntity {
		notRun.Reason = outcome.ReasonKeyReused
		return notRun
	}
	return d.Outcome
}

func replayResponse(c *call.Call, stored claim.Response) outcome.Outcome {
	header := c.Writer.Header()
	for name, values := range stored.Header {
		header[name] = values
	}
	header.Set(HeaderReplayed, "true")
	header.Set(call.HeaderOutcome, outcome.Served{}.Header())
	c.Writer.WriteHeader(stored.Status)
	if _, err := c.Writer.Write(stored.Body); err != nil {
		return outcome.Unknown{Reason: outcome.ReasonCallerLeft}
	}
	return outcome.Served{}
}

// runClaimed runs a claimed call and ends the claim, even if the caller has
// disconnected.
func runClaimed(ctx context.Context, next call.Handler, c *call.Call, claimed claim.Claim, log *slog.Logger) outcome.Outcome {
	result := next(ctx, c)
	endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimEndTimeout)
	defer cancel()
	if err := endClaim(endCtx, c, claimed, result); err != nil {
		log.Warn("caller: cannot write the end of a claim; it is retried later", "request", c.ID, "error", err)
	}
	return result
}

// endClaim ends a claim with the response, if it is known in full or was passed on in
// full. A response that broke off leaves open what the call did.
func endClaim(ctx context.Context, c *call.Call, claimed claim.Claim, result outcome.Outcome) error {
	_, served := result.(outcome.Served)
	if c.Response.Status != 0 && (served || c.Response.Complete) {
		return claimed.Finish(ctx, claim.Response{
			Status: c.Response.Status,
			Header: c.Response.Header,
			Body:   c.Response.Body,
		})
	}
	if _, ok := result.(outcome.NotRun); ok {
		return claimed.Abandon(ctx)
	}
	return claimed.Unknown(ctx)
}
