package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"

	"github.com/greengagewheel/greengagewheel/internal/fault"
)

type (
	// Handler handles the body of a frame and returns the value to answer with.
	Handler func(ctx context.Context, body []byte) (any, error)

	// Handlers holds the handler of each method. A method without a handler fails with the Twirp code "unimplemented".
	Handlers struct {
		Step     Handler
		Propose  Handler
		Holder   Handler
		Pull     Handler
		Ask      Handler
		Finish   Handler
		Sync     Handler
		Announce Handler
		Show     Handler
		Read     Handler
	}

	// server implements the Twirp service by calling the handlers.
	server struct {
		handlers Handlers
	}
)

// NewHandler returns an HTTP handler that serves the protocol to clients with the shared secret.
func NewHandler(secret string, handlers Handlers) http.Handler {
	return RequireSecret(secret, NewPeerServer(&server{handlers: handlers}))
}

// RequireSecret returns a handler that refuses requests without the secret as bearer token (401) and passes the others to next.
func RequireSecret(secret string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !BearerMatches(r.Header.Get("Authorization"), secret) {
			http.Error(w, "wrong secret", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// BearerMatches reports whether an Authorization header holds the wanted key as bearer token. It compares in constant time, and an
// empty key never matches.
func BearerMatches(header, want string) bool {
	got, ok := strings.CutPrefix(header, "Bearer ")
	return ok && want != "" && subtle.ConstantTimeCompare([]byte(got), []byte(want)) == 1
}

// TypedHandler returns a Handler that decodes the frame into Req and answers with the result of handle. A frame that cannot be
// decoded fails with the Twirp code "invalid_argument".
func TypedHandler[Req, Resp any](handle func(context.Context, Req) (Resp, error)) Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		var req Req
		if err := Decode(body, &req); err != nil {
			return nil, twirp.InvalidArgumentError("body", err.Error())
		}
		return handle(ctx, req)
	}
}

// handle calls the handler of the named method. Errors that are not Twirp errors get the code "unavailable".
func (s *server) handle(ctx context.Context, name string, handler Handler, frame *Frame) (*Frame, error) {
	if handler == nil {
		return nil, twirp.NewError(twirp.Unimplemented, name+" is not served here")
	}
	resp, err := handler(ctx, frame.Body)
	if err != nil {
		if twirpErr, ok := err.(twirp.Error); ok {
			return nil, twirpErr
		}
		return nil, twirp.NewError(twirp.Unavailable, fault.Wrap(name, "", err).Error())
	}
	return encodeFrame(resp)
}

func (s *server) Step(ctx context.Context, frame *Frame) (*Frame, error) {
	return s.handle(ctx, "step", s.handlers.Step, frame)
}

func (s *server) Propose(ctx context.Context, frame *Frame) (*Frame, error) {
	return s.handle(ctx, "propose", s.handlers.Propose, frame)
}

func (s *server) Holder(ctx context.Context, frame *Frame) (*Frame, error) {
	return s.handle(ctx, "holder", s.handlers.Holder, frame)
}

func (s *server) Pull(ctx context.Context, frame *Frame) (*Frame, error) {
	return s.handle(ctx, "pull", s.handlers.Pull, frame)
}

func (s *server) Ask(ctx context.Context, frame *Frame) (*Frame, error) {
	return s.handle(ctx, "ask", s.handlers.Ask, frame)
}

func (s *server) Finish(ctx context.Context, frame *Frame) (*Frame, error) {
	return s.handle(ctx, "finish", s.handlers.Finish, frame)
}

func (s *server) Sync(ctx context.Context, frame *Frame) (*Frame, error) {
	return s.handle(ctx, "sync", s.handlers.Sync, frame)
}

func (s *server) Announce(ctx context.Context, frame *Frame) (*Frame, error) {
	return s.handle(ctx, "announce", s.handlers.Announce, frame)
}

func (s *server) Show(ctx context.Context, frame *Frame) (*Frame, error) {
	return s.handle(ctx, "show", s.handlers.Show, frame)
}

func (s *server) Read(ctx context.Context, frame *Frame) (*Frame, error) {
	return s.handle(ctx, "read", s.handlers.Read, frame)
}
