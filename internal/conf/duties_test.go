package conf

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/duty"
)

// platformSettings are the platform's settings without duties.
const platformSettings = `{"nodeName":"n1","zone":"z","region":"r","dataDirectory":"/d","listen":{"controlPlane":"10.0.0.1:80"},
	"ip":"10.0.0.1","internalPorts":[7000],"seeds":["10.0.0.1:80"],"bootstrap":true,"faultTolerance":{"machines":2},
	"limits":{"memoryMb":184},"bounds":{"revokeMs":3000,"retryBudgetRatio":0.2,"retrySlack":50,"retryWindowS":10,"graceS":30}}`

var templateTag = regexp.MustCompile(`(?s)\{\{([#/]?)([^}|]+)(\|json)?\}\}`)

// lookUp returns a value by its dotted name: of the innermost entry that has it.
func lookUp(entries []any, name string) any {
	if name == "." {
		return entries[len(entries)-1]
	}
	for i := len(entries) - 1; i >= 0; i-- {
		value := entries[i]
		for _, part := range strings.Split(name, ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[part]
			case []any:
				value = nil
				if n, err := strconv.Atoi(part); err == nil && n < len(v) {
					value = v[n]
				}
			default:
				value = nil
			}
		}
		if value != nil {
			return value
		}
	}
	return nil
}

// render fills in a template as the platform does: a section is there if its value is, and its names are those of the value first.
func render(template string, entries ...any) string {
	var out strings.Builder
	for {
		tag := templateTag.FindStringSubmatchIndex(template)
		if tag == nil {
			return out.String() + template
		}
		out.WriteString(template[:tag[0]])
		kind, name := template[tag[2]:tag[3]], template[tag[4]:tag[5]]
		value := lookUp(entries, name)
		switch {
		case kind == "#":
			end := strings.Index(template, "{{/"+name+"}}")
			So(end, ShouldBeGreaterThan, 0)
			if !reflect.ValueOf(value).IsValid() {
				template = template[end:]
				continue
			}
			out.WriteString(render(template[tag[1]:end], append(entries[:len(entries):len(entries)], value)...))
			template = template[end:]
			continue
		case kind == "" && tag[6] >= 0:
			text, err := json.Marshal(value)
			So(err, ShouldBeNil)
			out.Write(text)
		case kind == "":
			_, _ = fmt.Fprint(&out, value)
		}
		template = template[tag[1]:]
	}
}

// renderSettings renders the settings that ship with the program, from those of the platform with additions.
func renderSettings(additions, bounds string) string {
	template, err := os.ReadFile("../../deploy/settings.toml")
	So(err, ShouldBeNil)
	text := strings.Replace(platformSettings, `"bounds":{`, additions+`"bounds":{`+bounds, 1)
	var values any
	So(json.Unmarshal([]byte(text), &values), ShouldBeNil)
	return render(string(template), values)
}

// TestDuties guards against settings that turn duties on where the platform has none, or that do not start where it leaves out what its
// duties do not need.
func TestDuties(t *testing.T) {
	Convey("without an interface for duties, or without duties, the section is not there", t, func() {
		for _, additions := range []string{``, `"cloudApi":{"address":"10.0.0.9:80"},`, `"cloudApi":{"address":"10.0.0.9:80","duties":[]},`} {
			text := renderSettings(additions, `"leaseMs":3000,"windowS":5,`)
			So(text, ShouldNotContainSubstring, "duties")
			c, err := Parse("x.toml", []byte(text))
			So(err, ShouldBeNil)
			So(c.Duties, ShouldBeNil)
			So(c.Duties.Has(duty.Autoscaling), ShouldBeFalse)
			So(c.Stop.Grace.Std(), ShouldEqual, 30*time.Second)
		}
	})
	Convey("with all values they are those of the platform", t, func() {
		c, err := Parse("x.toml", []byte(renderSettings(
			`"cloudApi":{"address":"10.0.0.9:80","duties":["usage_reporting","autoscaling"],"dutyPerS":50},`,
			`"leaseMs":2500,"windowS":4,"usageLateS":9,"usageTolerance":0.1,`)))
		So(err, ShouldBeNil)
		So(c.Duties.Address.String(), ShouldEqual, "10.0.0.9:80")
		So(c.Duties.Names, ShouldResemble, []duty.Name{duty.UsageReporting, duty.Autoscaling})
		So(c.Duties.Rate, ShouldEqual, 50)
		So(c.Duties.Lease.Std(), ShouldEqual, 2500*time.Millisecond)
		So(c.Duties.Window.Std(), ShouldEqual, 4*time.Second)
		So(c.Duties.Late.Std(), ShouldEqual, 9*time.Second)
		So(c.Duties.Tolerance, ShouldEqual, 0.1)
	})
	Convey("one duty alone needs none of the others' values", t, func() {
		c, err := Parse("x.toml", []byte(renderSettings(`"cloudApi":{"address":"10.0.0.9:80","duties":["autoscaling"]},`, ``)))
		So(err, ShouldBeNil)
		So(c.Duties.Has(duty.Autoscaling), ShouldBeTrue)
		So(c.Duties.Has(duty.UsageReporting), ShouldBeFalse)
		So(c.Duties.Rate, ShouldEqual, defaultDutyRate)
		So(c.Duties.Lease.Std(), ShouldEqual, defaultDutyLease)
		So(c.Duties.Window.Std(), ShouldEqual, defaultUsageWindow)
	})
	Convey("a rate that is no finite number is refused, as intervals are derived from it", t, func() {
		for _, rate := range []string{"nan", "inf", "-1.0"} {
			_, err := Parse("x.toml", []byte(renderSettings(``, ``)+
				"\n[duties]\naddress = \"10.0.0.9:80\"\nnames = [\"autoscaling\"]\nrate = "+rate+"\n"))
			var problems Problems
			So(errors.As(err, &problems), ShouldBeTrue)
			So(problems[0].Key, ShouldEqual, "duties.rate")
		}
	})
	Convey("a section without address is refused, with its line", t, func() {
		text := renderSettings(``, ``) + "\n[duties]\nnames = [\"autoscaling\"]\n"
		_, err := Parse("x.toml", []byte(text))
		var problems Problems
		So(errors.As(err, &problems), ShouldBeTrue)
		So(problems[0].Key, ShouldEqual, "duties.address")
		So(problems[0].Line, ShouldEqual, strings.Count(text, "\n")-1)
	})
}
