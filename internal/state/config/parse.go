package config

import (
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

// MaxFileBytes bounds an operators' file.
const MaxFileBytes = 64 << 20

// Parse returns the file with its defaults set, or Faults.
func Parse(text []byte) (*File, error) {
	if len(text) > MaxFileBytes {
		return nil, Faults{{Path: "$", Text: fmt.Sprintf("%d bytes, at most %d", len(text), MaxFileBytes)}}
	}
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, Faults{syntaxFault(err)}
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return nil, Faults{{Line: 1, Column: 1, Path: "$", Text: "the file must hold exactly one document"}}
	}
	root := tree.Docs[0].Body
	faults := unknownKeys(root, reflect.TypeFor[File](), "$")
	file := &File{}
	if err := yaml.NodeToValue(root, file); err != nil {
		faults = append(faults, syntaxFault(err))
		return nil, faults.sorted()
	}
	file.fill()
	faults = append(faults, place(root, check(file))...)
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

func syntaxFault(err error) Fault {
	var located yaml.Error
	if !errors.As(err, &located) {
		return Fault{Path: "$", Text: err.Error()}
	}
	fault := Fault{Path: "$", Text: located.GetMessage()}
	if token := located.GetToken(); token != nil {
		fault.Line = token.Position.Line
		fault.Column = token.Position.Column
	}
	return fault
}

// unknownKeys walks the document beside the type it is decoded into.
func unknownKeys(node ast.Node, shape reflect.Type, path string) Faults {
	for shape.Kind() == reflect.Pointer {
		shape = shape.Elem()
	}
	switch n := node.(type) {
	case *ast.MappingNode:
		return unknownInMapping(n, shape, path)
	case *ast.SequenceNode:
		if shape.Kind() != reflect.Slice {
			return nil
		}
		var faults Faults
		for i, item := range n.Values {
			faults = append(faults, unknownKeys(item, shape.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
		}
		return faults
	default:
		return nil
	}
}

func unknownInMapping(node *ast.MappingNode, shape reflect.Type, path string) Faults {
	if shape.Kind() != reflect.Struct {
		return nil
	}
	fields := fieldsByKey(shape)
	var faults Faults
	for _, pair := range node.Values {
		token := pair.Key.GetToken()
		inner := path + "." + token.Value
		field, known := fields[token.Value]
		if !known {
			faults = append(faults, Fault{
				Line: token.Position.Line, Column: token.Position.Column, Path: inner,
				Text: "unknown key; known are " + strings.Join(keysOf(fields), ", "),
			})
			continue
		}
		faults = append(faults, unknownKeys(pair.Value, field, inner)...)
	}
	return faults
}

func fieldsByKey(shape reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range shape.NumField() {
		field := shape.Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		fields[key] = field.Type
	}
	return fields
}

func keysOf(fields map[string]reflect.Type) []string {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// place looks up where the faults' paths stand. A path that the file leaves out
// is placed at its nearest parent.
func place(root ast.Node, faults Faults) Faults {
	for i := range faults {
		f := &faults[i]
		f.Line, f.Column = position(root, f.Path)
	}
	return faults
}

func position(root ast.Node, path string) (line, column int) {
	for {
		if node := find(root, path); node != nil {
			at := node.GetToken().Position
			return at.Line, at.Column
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 1, 1
		}
		path = path[:cut]
	}
}

func find(root ast.Node, path string) ast.Node {
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
