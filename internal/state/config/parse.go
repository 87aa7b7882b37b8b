package config

import (
	"bytes"
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxFileBytes is the maximum size of a configuration file.
const MaxFileBytes = 64 << 20

// secretsKey is the YAML key of API keys. A file without it holds none.
const secretsKey = "keys"

// Parse decodes and checks a YAML file and sets its defaults. The error is of type
// Faults.
func Parse(text []byte) (*File, error) {
	if len(text) > MaxFileBytes {
		return nil, Faults{{Path: "$", Text: fmt.Sprintf("%d bytes, at most %d", len(text), MaxFileBytes)}}
	}
	mayHoldKeys := bytes.Contains(text, []byte(secretsKey))
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, Faults{syntaxFault(err, mayHoldKeys)}
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return nil, Faults{{Line: 1, Column: 1, Path: "$", Text: "the file must hold exactly one document"}}
	}
	root := tree.Docs[0].Body
	faults := unknownKeys(root, reflect.TypeFor[File](), "$")
	file := &File{}
	if err := yaml.NodeToValue(root, file); err != nil {
		faults = append(faults, syntaxFault(err, mayHoldKeys))
		return nil, faults.sorted()
	}
	file.setDefaults()
	faults = append(faults, locate(root, check(file))...)
	if len(faults) > 0 {
		return nil, faults.sorted()
	}
	return file, nil
}

func (f Faults) sorted() Faults {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return f
}

// syntaxFault converts an error of the YAML package. The message of that package may quote
// the file, and is left out if the file may hold API keys.
func syntaxFault(err error, mayHoldKeys bool) Fault {
	fault := Fault{Path: "$", Text: "this is not valid YAML, or of the wrong type"}
	var located yaml.Error
	if !errors.As(err, &located) {
		if !mayHoldKeys {
			fault.Text = err.Error()
		}
		return fault
	}
	if !mayHoldKeys {
		fault.Text = located.GetMessage()
	}
	if token := located.GetToken(); token != nil {
		fault.Line = token.Position.Line
		fault.Column = token.Position.Column
	}
	return fault
}

// unknownKeys returns a fault for each key of the document that the type it is
// decoded into has no field for.
func unknownKeys(node ast.Node, typ reflect.Type, path string) Faults {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch n := node.(type) {
	case *ast.MappingNode:
		return unknownInMapping(n, typ, path)
	case *ast.SequenceNode:
		if typ.Kind() != reflect.Slice {
			return nil
		}
		var faults Faults
		for i, item := range n.Values {
			faults = append(faults, unknownKeys(item, typ.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
		}
		return faults
	default:
		return nil
	}
}

func unknownInMapping(node *ast.MappingNode, typ reflect.Type, path string) Faults {
	if typ.Kind() != reflect.Struct {
		return nil
	}
	fields := fieldsByKey(typ)
	var faults Faults
	for _, pair := range node.Values {
		token := pair.Key.GetToken()
		keyPath := path + "." + token.Value
		field, known := fields[token.Value]
		if !known {
			// A YAML key under an organisation may be an API key in the wrong place.
			if typ == reflect.TypeFor[Organisation]() {
				keyPath = path
			}
			faults = append(faults, Fault{
				Line: token.Position.Line, Column: token.Position.Column, Path: keyPath,
				Text: "unknown key; known are " + strings.Join(sortedKeys(fields), ", "),
			})
			continue
		}
		faults = append(faults, unknownKeys(pair.Value, field, keyPath)...)
	}
	return faults
}

// fieldsByKey maps the YAML keys of a struct type to the types of their fields.
func fieldsByKey(typ reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range typ.NumField() {
		field := typ.Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		fields[key] = field.Type
	}
	return fields
}

func sortedKeys(fields map[string]reflect.Type) []string {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// locate sets the lines and columns of faults from their paths.
func locate(root ast.Node, faults Faults) Faults {
	for i := range faults {
		f := &faults[i]
		f.Line, f.Column = position(root, f.Path)
	}
	return faults
}

// position returns the line and column of a path. If the document does not contain
// the path, it returns the position of the nearest parent.
func position(root ast.Node, path string) (line, column int) {
	for {
		if node := findNode(root, path); node != nil {
			pos := node.GetToken().Position
			return pos.Line, pos.Column
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 1, 1
		}
		path = path[:cut]
	}
}

// findNode returns the node at a path, or nil. For a mapping it returns the first
// key.
func findNode(root ast.Node, path string) ast.Node {
	query, err := yaml.PathString(path)
	if err != nil {
		return nil
	}
	node, err := query.FilterNode(root)
	if err != nil || node == nil {
		return nil
	}
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		return mapping.Values[0].Key
	}
	return node
}
