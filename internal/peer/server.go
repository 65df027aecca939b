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
	// Handler answers one method's frame.
	Handler func(ctx context.Context, body []byte) (any, error)

	// Handlers holds the handler of each method; a missing one answers "unimplemented".
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

	server struct {
		h Handlers
	}
)

// NewHandler returns the HTTP handler of the protocol, behind the shared secret.
func NewHandler(secret string, h Handlers) http.Handler {
	return Guard(secret, NewPeerServer(&server{h: h}))
}

// Guard refuses requests that do not carry the secret as their bearer key.
func Guard(secret string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if !Bearer(q.Header.Get("Authorization"), secret) {
			http.Error(w, "wrong secret", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, q)
	})
}

// Bearer compares an Authorization header with the wanted key in constant time; an empty key never matches.
func Bearer(header, want string) bool {
	got, ok := strings.CutPrefix(header, "Bearer ")
	return ok && want != "" && subtle.ConstantTimeCompare([]byte(got), []byte(want)) == 1
}

// Typed returns a handler that decodes its frame into Q and answers with what f returns.
func Typed[Q, A any](f func(context.Context, Q) (A, error)) Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		var q Q
		if err := Decode(body, &q); err != nil {
			return nil, twirp.InvalidArgumentError("body", err.Error())
		}
		return f(ctx, q)
	}
}

func (s *server) do(ctx context.Context, name string, h Handler, f *Frame) (*Frame, error) {
	if h == nil {
		return nil, twirp.NewError(twirp.Unimplemented, name+" is not served here")
	}
	out, err := h(ctx, f.Body)
	if err != nil {
		if t, ok := err.(twirp.Error); ok {
			return nil, t
		}
		return nil, twirp.NewError(twirp.Unavailable, fault.At(name, "", err).Error())
	}
	return pack(out)
}

func (s *server) Step(ctx context.Context, f *Frame) (*Frame, error) {
	return s.do(ctx, "step", s.h.Step, f)
}

func (s *server) Propose(ctx context.Context, f *Frame) (*Frame, error) {
	return s.do(ctx, "propose", s.h.Propose, f)
}

func (s *server) Holder(ctx context.Context, f *Frame) (*Frame, error) {
	return s.do(ctx, "holder", s.h.Holder, f)
}

func (s *server) Pull(ctx context.Context, f *Frame) (*Frame, error) {
	return s.do(ctx, "pull", s.h.Pull, f)
}

func (s *server) Ask(ctx context.Context, f *Frame) (*Frame, error) {
	return s.do(ctx, "ask", s.h.Ask, f)
}

func (s *server) Finish(ctx context.Context, f *Frame) (*Frame, error) {
	return s.do(ctx, "finish", s.h.Finish, f)
}

func (s *server) Sync(ctx context.Context, f *Frame) (*Frame, error) {
	return s.do(ctx, "sync", s.h.Sync, f)
}

func (s *server) Announce(ctx context.Context, f *Frame) (*Frame, error) {
	return s.do(ctx, "announce", s.h.Announce, f)
}

func (s *server) Show(ctx context.Context, f *Frame) (*Frame, error) {
	return s.do(ctx, "show", s.h.Show, f)
}

func (s *server) Read(ctx context.Context, f *Frame) (*Frame, error) {
	return s.do(ctx, "read", s.h.Read, f)
}
