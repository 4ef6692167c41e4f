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

// claimEndTimeout bounds the write of a claim's end while the caller waits.
const claimEndTimeout = 2 * time.Second

// HeaderReplayed is set on an answer that an earlier call got.
const HeaderReplayed = "Hawthornway-Replayed"

// ClaimFilter returns a filter that lets each keyed call to a route that is not
// idempotent run at most once over all hosts.
func ClaimFilter(claims claim.Claims, log *slog.Logger) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			s, ok := c.Subject.(*call.Service)
			if !ok || s.Route.Idempotent || s.Key == "" {
				return next(ctx, c)
			}
			decision, err := begin(ctx, claims, c, s)
			if err != nil {
				log.Error("caller: claim record is broken", "request", c.ID, "error", err)
				return outcome.Unknown{Reason: outcome.ReasonClaimUnsafe, Detail: "the call's claim can't be read"}
			}
			switch d := decision.(type) {
			case claim.Replay:
				return replay(c, d.Answer)
			case claim.Refuse:
				return refusal(d)
			case claim.Run:
				return runClaimed(ctx, next, c, d.Claim, log)
			default:
				panic("caller: unknown decision of a claim")
			}
		}
	}
}

func begin(ctx context.Context, claims claim.Claims, c *call.Call, s *call.Service) (claim.Decision, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	return claims.Begin(ctx, claim.Request{
		Route:   string(s.Route.Name),
		Team:    c.Team,
		Key:     s.Key,
		Digest:  digest(c),
		Attempt: string(c.ID),
	})
}

// digest tells one request from another that carries the same key.
func digest(c *call.Call) [sha256.Size]byte {
	sum := sha256.New()
	for _, part := range []string{c.Request.Method, c.Request.URL.RequestURI()} {
		own := sha256.Sum256([]byte(part))
		sum.Write(own[:])
	}
	sum.Write(c.Body)
	return [sha256.Size]byte(sum.Sum(nil))
}

// refusal gives the reuse of a key for another request its own reason.
func refusal(d claim.Refuse) outcome.Outcome {
	notRun, ok := d.Outcome.(outcome.NotRun)
	if ok && d.Status == http.StatusUnprocessableEntity {
		notRun.Reason = outcome.ReasonKeyReused
		return notRun
	}
	return d.Outcome
}

func replay(c *call.Call, answer claim.Answer) outcome.Outcome {
	header := c.Writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(HeaderReplayed, "true")
	header.Set(call.HeaderOutcome, outcome.Served{}.Header())
	c.Writer.WriteHeader(answer.Status)
	if _, err := c.Writer.Write(answer.Body); err != nil {
		return outcome.Unknown{Reason: outcome.ReasonCallerLeft}
	}
	return outcome.Served{}
}

// runClaimed runs a claimed call and records its end, also when the caller has
// left.
func runClaimed(ctx context.Context, next call.Handler, c *call.Call, mine claim.Claim, log *slog.Logger) outcome.Outcome {
	ended := next(ctx, c)
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimEndTimeout)
	defer cancel()
	if err := endClaim(ending, c, mine, ended); err != nil {
		log.Warn("caller: end of a claim is written later", "request", c.ID, "error", err)
	}
	return ended
}

func endClaim(ctx context.Context, c *call.Call, mine claim.Claim, ended outcome.Outcome) error {
	if c.Answer.Status != 0 {
		return mine.Finish(ctx, claim.Answer{
			Status: c.Answer.Status,
			Header: c.Answer.Header,
			Body:   c.Answer.Body,
		})
	}
	if _, ok := ended.(outcome.NotRun); ok {
		return mine.Abandon(ctx)
	}
	return mine.Unknown(ctx)
}
