package node

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// durationUnits are the names of package time by which a constant is a span of time.
var durationUnits = []string{"Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour", "Duration"}

// spans returns the names of a file's constants that are spans of time.
func spans(file *ast.File) (names []string) {
	for _, decl := range file.Decls {
		gen, ok := decl.(*ast.GenDecl)
		if !ok || gen.Tok != token.CONST {
			continue
		}
		for _, spec := range gen.Specs {
			values := spec.(*ast.ValueSpec)
			for i, name := range values.Names {
				if i < len(values.Values) && isSpan(values.Values[i], names) || isSpan(values.Type, nil) {
					names = append(names, name.Name)
				}
			}
		}
	}
	return names
}

// isSpan tells whether an expression names a unit of time, or a constant that is known to be a span.
func isSpan(e ast.Expr, known []string) (found bool) {
	if e == nil {
		return false
	}
	ast.Inspect(e, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.SelectorExpr:
			if of, ok := n.X.(*ast.Ident); ok && of.Name == "time" && slices.Contains(durationUnits, n.Sel.Name) {
				found = true
			}
		case *ast.Ident:
			found = found || slices.Contains(known, n.Name)
		}
		return !found
	})
	return found
}

// Guards against a wait with a bound that nobody has written down: what waits behind it, and what becomes of the work at the bound.
func TestEachSpanOfTimeStandsInTheLedgerOfWaits(t *testing.T) {
	const root = "../.."
	text, err := os.ReadFile(filepath.Join(root, "docs/design/waits.md"))
	if err != nil {
		t.Fatal(err)
	}
	stands := map[string]bool{}
	for i, word := range strings.Split(string(text), "`") {
		stands[word] = stands[word] || i%2 == 1
	}
	named := map[string]bool{}
	for _, dir := range []string{"internal/node", "internal/ratelog", "delivery", "daemon", "cmd/coralyard", "as2", "undelivered", "peers", "grpcdelivery", "record"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			for _, name := range spans(file) {
				folder, err := filepath.Rel(root, filepath.Dir(path))
				if err != nil {
					return err
				}
				named[folder+"."+name] = true
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(named)) {
		if !stands[name] {
			t.Errorf("docs/design/waits.md has no line of %s", name)
		}
	}
	if len(named) < 50 {
		t.Errorf("only %d constants were found", len(named))
	}
}
