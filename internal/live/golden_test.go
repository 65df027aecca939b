package live

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/rig"
	. "github.com/smartystreets/goconvey/convey"
)

var (
	update   = flag.Bool("update", false, "write the golden files anew")
	changing = regexp.MustCompile(`("created":|Date: )[^,\n]*`)
)

// session sends one request and writes down all of the answer.
func session(in inst, method, path, key, body string, header ...string) string {
	q, _ := http.NewRequest(method, fmt.Sprintf("http://%s%s", in.Callers, path), strings.NewReader(body))
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "> %s %s\n> %s\n", method, path, body)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = fmt.Fprintf(&b, "< %s\n", resp.Status)
	for _, h := range []string{"Content-Type", "Retry-After"} {
		if v := resp.Header.Get(h); v != "" {
			_, _ = fmt.Fprintf(&b, "< %s: %s\n", h, v)
		}
	}
	data, err := io.ReadAll(resp.Body)
	_, _ = fmt.Fprintf(&b, "%s\n", data)
	if err != nil {
		_, _ = fmt.Fprintf(&b, "error: %v\n", err)
	}
	return changing.ReplaceAllString(b.String(), "${1}X")
}

// golden compares a session with its file.
func golden(name, got string) {
	file := filepath.Join("testdata", name+".golden")
	if *update {
		So(os.WriteFile(file, []byte(got), 0o644), ShouldBeNil)
		return
	}
	want, err := os.ReadFile(file)
	So(err, ShouldBeNil)
	So(got, ShouldEqual, string(want))
}

func TestGoldenSessions(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.engine("e1", "a")
	f.service("s1", "a")
	f.enter(contract("acme", callKey))
	f.serving("m", 1)
	f.serving("bookings", 1)
	in := f.at(1)
	ask := `{"model":"m","messages":[{"role":"user","content":"hello [[out=4]]"}]}`
	streamed := `{"model":"m","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":[{"type":"text","text":"hello [[out=4]]"}]}]}`
	chatPath, textPath := "/v1/chat/completions", "/v1/completions"
	Convey("Sessions of callers are as written down", t, func() {
		golden("models", session(in, http.MethodGet, "/v1/models", callKey, ""))
		golden("chat-whole", session(in, http.MethodPost, chatPath, callKey, ask, "X-Request-Id", "whole"))
		golden("chat-streamed", session(in, http.MethodPost, chatPath, callKey, streamed, "X-Request-Id", "streamed"))
		golden("chat-length", session(in, http.MethodPost, chatPath, callKey, strings.Replace(ask, `"m",`, `"m","max_tokens":2,`, 1), "X-Request-Id", "length"))
		golden("text-whole", session(in, http.MethodPost, textPath, callKey, `{"model":"m","prompt":"hi [[out=3]]"}`, "X-Request-Id", "text"))
		golden("service-call", session(in, http.MethodPost, "/v1/services/bookings/visits/7", callKey, `{"day":"monday"}`, "Idempotency-Key", "visit-7"))
		golden("service-repeat", session(f.at(2), http.MethodPost, "/v1/services/bookings/visits/7", callKey, `{"day":"monday"}`, "Idempotency-Key", "visit-7"))
		golden("service-no-key", session(in, http.MethodPost, "/v1/services/bookings/visits/7", callKey, `{}`))
		golden("refused-key", session(in, http.MethodPost, chatPath, "wrong", ask))
		golden("no-key", session(in, http.MethodPost, chatPath, "", ask))
		golden("malformed", session(in, http.MethodPost, chatPath, callKey, `{"model":`))
		golden("wrong-model", session(in, http.MethodPost, chatPath, callKey, strings.Replace(ask, `"m"`, `"nosuch"`, 1)))
		golden("wrong-path", session(in, http.MethodGet, "/v2/none", callKey, ""))
	})
	Convey("A body above the bound is refused", t, func() {
		s := session(in, http.MethodPost, chatPath, callKey, strings.Repeat("x", 5<<20))
		So(s, ShouldContainSubstring, "413")
	})
	Convey("A stream in progress as its instance is stopped is as written down, and the process exits with 0", t, func() {
		res := make(chan string, 1)
		go func() {
			res <- session(in, http.MethodPost, chatPath, callKey, strings.Replace(streamed, "out=4", "out=120", 1), "X-Request-Id", "stopped")
		}()
		until(t, "it runs", func() bool { return f.Instances[0].Cells()["m@r"].Running > 0 })
		So(in.Stop(), ShouldBeNil)
		golden("stopped", <-res)
	})
	Convey("A caller behind a lost quorum is refused once the proof is too old, and operators' views say so", t, func() {
		f.Instances[2].Kill()
		until(t, "it is not ready", func() bool { return !f.Instances[0].Ready() })
		golden("no-quorum", session(f.at(0), http.MethodPost, chatPath, callKey, ask))
	})
}

func TestGoldenSettings(t *testing.T) {
	run := func(text string) string {
		file := filepath.Join(t.TempDir(), "x.toml")
		So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
		out, err := exec.Command(filepath.Join(binDir, "greengagewheel"), "check", "--conf", file).CombinedOutput()
		code := 0
		if e, ok := err.(*exec.ExitError); ok {
			code = e.ExitCode()
		}
		return strings.ReplaceAll(string(out), file, "FILE") + fmt.Sprintln("exit", code)
	}
	sample, err := exec.Command(filepath.Join(binDir, "greengagewheel"), "check", "--sample").Output()
	must(t, err)
	good := string(sample)
	Convey("Faults of settings are told with file, line, key and reason", t, func() {
		var b strings.Builder
		for _, c := range [][2]string{
			{"", ""},
			{`name = "i1"`, `nmae = "i1"`},
			{`#gap = "2s"`, `gap = "2"`},
			{`#body = "4MiB"`, `body = "4"`},
			{`#bound = "3s"`, `bound = "30s"`},
			{`zone = "a"` + "\nregion", `region`},
			{`callers = "127.0.0.1:8080"`, `callers = "nowhere"`},
			{`secret = "change-me-shared-secret"`, `secret = "short"`},
			{`[log]`, `[log`},
		} {
			text := strings.Replace(good, c[0], c[1], 1)
			_, _ = fmt.Fprintf(&b, "# %s -> %s\n%s", strings.ReplaceAll(c[0], "\n", " "), c[1], run(text))
		}
		golden("settings", b.String())
	})
	Convey("Wrong use exits with 2", t, func() {
		err := exec.Command(filepath.Join(binDir, "greengagewheel"), "serve").Run()
		So(err.(*exec.ExitError).ExitCode(), ShouldEqual, 2)
	})
}

func TestDemo(t *testing.T) {
	Convey("The demo prints a curl line that works, and stops cleanly", t, func() {
		in, err := rig.FreeAddr()
		So(err, ShouldBeNil)
		cmd := exec.Command(filepath.Join(binDir, "greengagewheel"), "demo", "--listen", in.String())
		var out bytes.Buffer
		pr, pw := io.Pipe()
		cmd.Stdout = io.MultiWriter(&out, pw)
		So(cmd.Start(), ShouldBeNil)
		ready := make(chan string, 1)
		go func() {
			buf := make([]byte, 4096)
			n, _ := pr.Read(buf)
			ready <- string(buf[:n])
			_, _ = io.Copy(io.Discard, pr)
		}()
		var text string
		select {
		case text = <-ready:
		case <-time.After(30 * time.Second):
		}
		line := regexp.MustCompile(`curl -N .*`).FindString(text)
		So(line, ShouldNotEqual, "")
		got, err := exec.Command("bash", "-c", line+" -s").Output()
		So(err, ShouldBeNil)
		So(string(got), ShouldContainSubstring, "data: [DONE]")
		So(cmd.Process.Signal(os.Interrupt), ShouldBeNil)
		So(cmd.Wait(), ShouldBeNil)
	})
}
