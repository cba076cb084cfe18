package golden

import (
	"bytes"
	"encoding/gob"
	"hash/crc32"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
)

// registered matches the names under which gob sends the concrete types of interface values.
var registered = regexp.MustCompile(`github\.com/fireflycleat/[\w./]+`)

// Fill sets each field of the message to a value derived from its path and returns the paths. Slices and maps get one element.
// An interface must hold a value of the type to fill. Fields for which skip reports true are left as they are; nil skips none.
//
// A path consists of field names, so the value of a field doesn't depend on the order of the fields.
func Fill(message any, skip func(path string) bool) []string {
	paths := []string{}
	fill(reflect.ValueOf(message).Elem(), "", func(path string) bool {
		if skip != nil && skip(path) {
			return false
		}
		paths = append(paths, path)
		return true
	})
	slices.Sort(paths)
	return paths
}

func fill(v reflect.Value, path string, wanted func(string) bool) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(number(path), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && wanted(strings.TrimPrefix(path+"."+f.Name, ".")) {
				fill(v.Field(i), strings.TrimPrefix(path+"."+f.Name, "."), wanted)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), path, wanted)
	case reflect.Interface:
		concrete := reflect.New(v.Elem().Type()).Elem()
		fill(concrete, path, wanted)
		v.Set(concrete)
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes([]byte("bytes of " + path))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), path, wanted)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, path, wanted)
		fill(value, path, wanted)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("text of " + path)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(number(path))
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(number(path)))
	case reflect.Float64:
		v.SetFloat(float64(number(path)) + 0.5)
	default:
		panic("no value for " + path + " of type " + v.Type().String())
	}
}

// number returns a positive number that differs between paths.
func number(path string) int64 { return 1 + int64(crc32.ChecksumIEEE([]byte(path))%1_000_000_000) }

// Check compares a message of an earlier build with the type of zero. The file name.gob in dir must decode to the values that Fill
// set when the file was made, and this build must send the names of all fields and registered types in that file. The file
// name.fields lists the paths of the fields; fields added since then may be missing from it.
func Check(c *qt.C, dir, name string, zero any) {
	data, err := os.ReadFile(filepath.Join(dir, name+".gob"))
	c.Assert(err, qt.IsNil)
	list, err := os.ReadFile(filepath.Join(dir, name+".fields"))
	c.Assert(err, qt.IsNil)
	paths := strings.Fields(string(list))

	want := reflect.New(reflect.TypeOf(zero))
	want.Elem().Set(reflect.ValueOf(zero))
	present := Fill(want.Interface(), func(path string) bool { return !slices.Contains(paths, path) })
	c.Check(present, qt.ContentEquals, paths, qt.Commentf("fields of %s", name))

	got := reflect.New(reflect.TypeOf(zero))
	c.Assert(gob.NewDecoder(bytes.NewReader(data)).DecodeValue(got), qt.IsNil, qt.Commentf("decoding %s", name))
	c.Check(got.Interface(), qt.DeepEquals, want.Interface(), qt.Commentf("values of %s", name))

	var sent bytes.Buffer
	c.Assert(gob.NewEncoder(&sent).EncodeValue(want), qt.IsNil)
	for _, path := range paths {
		field := path[strings.LastIndex(path, ".")+1:]
		c.Check(bytes.Contains(sent.Bytes(), append([]byte{byte(len(field))}, field...)), qt.IsTrue, qt.Commentf("%s sends no %s", name, path))
	}
	for _, t := range registered.FindAll(data, -1) {
		c.Check(bytes.Contains(sent.Bytes(), t), qt.IsTrue, qt.Commentf("%s sends no type %s", name, t))
	}
}
