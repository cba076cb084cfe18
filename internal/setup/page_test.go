package setup

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pageRow is one setting in the table of the documentation page.
type pageRow struct{ kind, defaultValue, limits string }

func readPage(t *testing.T) map[string]pageRow {
	page, err := os.ReadFile("../../docs/settings.md")
	qt.Assert(t, err, qt.IsNil)
	rows := make(map[string]pageRow)
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|([^|]*)\\|([^|]*)\\|([^|]*)\\|").FindAllStringSubmatch(string(page), -1) {
		_, twice := rows[m[1]]
		qt.Assert(t, twice, qt.IsFalse, qt.Commentf("%s is listed twice", m[1]))
		rows[m[1]] = pageRow{strings.TrimSpace(m[2]), strings.Trim(m[3], " `"), strings.TrimSpace(m[4])}
	}
	return rows
}

// defaults returns the default value of each setting, keyed by its dotted name.
func defaults(v reflect.Value, prefix string) map[string]any {
	all := make(map[string]any)
	for i := range v.NumField() {
		key := prefix + v.Type().Field(i).Tag.Get("toml")
		f := v.Field(i)
		if _, scalar := f.Addr().Interface().(interface{ UnmarshalText([]byte) error }); f.Kind() != reflect.Struct || scalar {
			all[key] = f.Interface()
			continue
		}
		for k, x := range defaults(f, key+".") {
			all[k] = x
		}
	}
	return all
}

// TestPage guards against a setting that the documentation page omits, an entry for a setting that does not exist, and a wrong
// default on the page.
func TestPage(t *testing.T) {
	c, rows, s := qt.New(t), readPage(t), Default()
	keys := defaults(reflect.ValueOf(&s).Elem(), "")
	for key := range rows {
		_, known := keys[key]
		c.Check(known, qt.IsTrue, qt.Commentf("%s is on the page, but is not a setting", key))
	}
	// The required keys are those that Parse reports as missing. The file sets listen.operator to a loopback address, because
	// operator.token would be reported otherwise.
	required := make(map[string]bool)
	_, problems := Parse("f.toml", []byte("[listen]\noperator = \"127.0.0.1:7003\""))
	for _, p := range problems {
		required[p.key] = true
	}
	required["listen.operator"] = true
	for key, value := range keys {
		text := fmt.Sprint(value)
		switch x := value.(type) {
		case Duration:
			d, err := time.ParseDuration(rows[key].defaultValue)
			c.Check(err, qt.IsNil, qt.Commentf("%s", key))
			c.Check(d, qt.Equals, x.Value(), qt.Commentf("%s", key))
			continue
		case Size:
			if text = x.text; text == "" {
				text = "none"
			}
		case Address, []Address, string:
			if text = strings.Trim(text, "[]"); required[key] {
				text = "required"
			} else if text == "" {
				text = "none"
			}
		}
		c.Check(rows[key].defaultValue, qt.Equals, text, qt.Commentf("%s", key))
	}
}

// TestPageLimits guards against limits on the documentation page that differ from those that Parse checks. Parse must accept
// both limits and reject values just beyond them.
func TestPageLimits(t *testing.T) {
	c, limitsPattern, checked := qt.New(t), regexp.MustCompile("^`(.+)` to `(.+)`$"), 0
	for key, r := range readPage(t) {
		m := limitsPattern.FindStringSubmatch(r.limits)
		if m == nil {
			continue
		}
		checked++
		table, name, _ := strings.Cut(key, ".")
		rejected := func(value string) bool {
			if r.kind == "duration" || r.kind == "size" {
				value = `"` + value + `"`
			}
			_, problems := Parse("f.toml", fmt.Appendf(nil, "[%s]\n%s = %s", table, name, value))
			for _, p := range problems {
				if p.key == key {
					return true
				}
			}
			return false
		}
		for i, limit := range m[1:] {
			c.Check(rejected(limit), qt.IsFalse, qt.Commentf("%s = %s", key, limit))
			c.Check(rejected(beyond(r.kind, limit, i == 1)), qt.IsTrue, qt.Commentf("%s beyond %s", key, limit))
		}
	}
	c.Assert(checked > 8, qt.IsTrue)
}

// beyond returns a value just outside the limit. Below a limit of 1KiB it returns 0KiB, as smaller sizes cannot be written.
func beyond(kind, limit string, above bool) string {
	sign := map[bool]int{true: 1, false: -1}[above]
	var n float64
	unit := ""
	_, _ = fmt.Sscanf(limit, "%f%s", &n, &unit) // fails for plain numbers, which have no unit
	switch kind, _, _ = strings.Cut(kind, ","); kind {
	case "duration":
		d, _ := time.ParseDuration(limit)
		return (d + time.Duration(sign)).String()
	case "number":
		return fmt.Sprint(n * (1 + float64(sign)/1000))
	}
	return fmt.Sprintf("%d%s", int(n)+sign, unit)
}
