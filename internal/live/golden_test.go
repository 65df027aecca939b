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
	update         = flag.Bool("update", false, "rewrite the golden files")
	volatileFields = regexp.MustCompile(`("created":|Date: )[^,\n]*`)
)

// exchange sends one request and returns a transcript of request and response, with timestamps replaced by X. header holds names and
// values in turn.
func exchange(in instance, method, path, key, body string, header ...string) string {
	req, _ := http.NewRequest(method, fmt.Sprintf("http://%s%s", in.Callers, path), strings.NewReader(body))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "> %s %s\n> %s\n", method, path, body)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = fmt.Fprintf(&b, "< %s\n", resp.Status)
	for _, name := range []string{"Content-Type", "Retry-After"} {
		if v := resp.Header.Get(name); v != "" {
			_, _ = fmt.Fprintf(&b, "< %s: %s\n", name, v)
		}
	}
	data, err := io.ReadAll(resp.Body)
	_, _ = fmt.Fprintf(&b, "%s\n", data)
	if err != nil {
		_, _ = fmt.Fprintf(&b, "error: %v\n", err)
	}
	return volatileFields.ReplaceAllString(b.String(), "${1}X")
}

// checkGolden compares a transcript with its golden file, or rewrites the file if -update is set.
func checkGolden(name, got string) {
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
	f.startEngine("e1", "a")
	f.startService("s1", "a")
	f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("m", 1)
	f.waitForEndpoints("bookings", 1)
	in := f.instance(1)
	chatBody := `{"model":"m","messages":[{"role":"user","content":"hello [[out=4]]"}]}`
	streamed := `{"model":"m","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":[{"type":"text","text":"hello [[out=4]]"}]}]}`
	chatPath, textPath := "/v1/chat/completions", "/v1/completions"
	Convey("Responses to callers match the golden files", t, func() {
		checkGolden("models", exchange(in, http.MethodGet, "/v1/models", callerKey, ""))
		checkGolden("chat-whole", exchange(in, http.MethodPost, chatPath, callerKey, chatBody, "X-Request-Id", "whole"))
		checkGolden("chat-streamed", exchange(in, http.MethodPost, chatPath, callerKey, streamed, "X-Request-Id", "streamed"))
		checkGolden("chat-length", exchange(in, http.MethodPost, chatPath, callerKey,
			strings.Replace(chatBody, `"m",`, `"m","max_tokens":2,`, 1), "X-Request-Id", "length"))
		checkGolden("text-whole", exchange(in, http.MethodPost, textPath, callerKey,
			`{"model":"m","prompt":"hi [[out=3]]"}`, "X-Request-Id", "text"))
		checkGolden("service-call", exchange(in, http.MethodPost, "/v1/services/bookings/visits/7", callerKey,
			`{"day":"monday"}`, "Idempotency-Key", "visit-7"))
		checkGolden("service-repeat", exchange(f.instance(2), http.MethodPost, "/v1/services/bookings/visits/7", callerKey,
			`{"day":"monday"}`, "Idempotency-Key", "visit-7"))
		checkGolden("service-no-key", exchange(in, http.MethodPost, "/v1/services/bookings/visits/7", callerKey, `{}`))
		checkGolden("refused-key", exchange(in, http.MethodPost, chatPath, "wrong", chatBody))
		checkGolden("no-key", exchange(in, http.MethodPost, chatPath, "", chatBody))
		checkGolden("malformed", exchange(in, http.MethodPost, chatPath, callerKey, `{"model":`))
		checkGolden("wrong-model", exchange(in, http.MethodPost, chatPath, callerKey, strings.Replace(chatBody, `"m"`, `"nosuch"`, 1)))
		checkGolden("wrong-path", exchange(in, http.MethodGet, "/v2/none", callerKey, ""))
	})
	Convey("A request body above the size limit is refused with 413", t, func() {
		session := exchange(in, http.MethodPost, chatPath, callerKey, strings.Repeat("x", 5<<20))
		So(session, ShouldContainSubstring, "413")
	})
	Convey("A stream in progress when its instance is stopped matches the golden file, and the process exits with 0", t, func() {
		result := make(chan string, 1)
		go func() {
			result <- exchange(in, http.MethodPost, chatPath, callerKey,
				strings.Replace(streamed, "out=4", "out=120", 1), "X-Request-Id", "stopped")
		}()
		waitUntil(t, "the stream runs", func() bool { return f.Instances[0].Cells()["m@r"].Running > 0 })
		So(in.Stop(), ShouldBeNil)
		checkGolden("stopped", <-result)
	})
	Convey("Without a quorum, callers are refused once the instance cannot prove that its configuration is current", t, func() {
		f.Instances[2].Kill()
		waitUntil(t, "the instance is not ready", func() bool { return !f.Instances[0].Ready() })
		checkGolden("no-quorum", exchange(f.instance(0), http.MethodPost, chatPath, callerKey, chatBody))
	})
}

func TestGoldenSettings(t *testing.T) {
	checkSettings := func(text string) string {
		file := filepath.Join(t.TempDir(), "x.toml")
		So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
		out, err := exec.Command(filepath.Join(binDir, "greengagewheel"), "check", "--conf", file).CombinedOutput()
		code := 0
		if exitErr, ok := err.(*exec.ExitError); ok {
			code = exitErr.ExitCode()
		}
		return strings.ReplaceAll(string(out), file, "FILE") + fmt.Sprintln("exit", code)
	}
	sample, err := exec.Command(filepath.Join(binDir, "greengagewheel"), "check", "--sample").Output()
	must(t, err)
	validSettings := string(sample)
	Convey("Errors in settings are reported with file, line, key and reason", t, func() {
		var b strings.Builder
		for _, edit := range [][2]string{
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
			text := strings.Replace(validSettings, edit[0], edit[1], 1)
			_, _ = fmt.Fprintf(&b, "# %s -> %s\n%s", strings.ReplaceAll(edit[0], "\n", " "), edit[1], checkSettings(text))
		}
		checkGolden("settings", b.String())
	})
	Convey("Wrong usage exits with 2", t, func() {
		err := exec.Command(filepath.Join(binDir, "greengagewheel"), "serve").Run()
		So(err.(*exec.ExitError).ExitCode(), ShouldEqual, 2)
	})
}

func TestDemo(t *testing.T) {
	Convey("The demo prints a working curl command and exits cleanly on interrupt", t, func() {
		listenAddr, err := rig.FreeAddr()
		So(err, ShouldBeNil)
		cmd := exec.Command(filepath.Join(binDir, "greengagewheel"), "demo", "--listen", listenAddr.String())
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
		curlLine := regexp.MustCompile(`curl -N .*`).FindString(text)
		So(curlLine, ShouldNotEqual, "")
		output, err := exec.Command("bash", "-c", curlLine+" -s").Output()
		So(err, ShouldBeNil)
		So(string(output), ShouldContainSubstring, "data: [DONE]")
		So(cmd.Process.Signal(os.Interrupt), ShouldBeNil)
		So(cmd.Wait(), ShouldBeNil)
	})
}
