package experiment

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/format"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"starlingusher/lab/days"
)

// Build is the laboratory of this tree laid over the decisions of another commit, as a program that plays days.
type Build struct {
	Commit string
	// Without lists what the commit's interface lacks, which was taken out of the laboratory to build it.
	Without []string
	folder  string
}

// laid are the folders that are laid over the other tree; of those borrowed it gets the files that it has not.
var laid = []string{"lab/model", "lab/days", "lab/player"}

var borrowed = []string{"fleet", "internal/filefault"}

// ErrBuild says that the laboratory could not be built over a commit.
var ErrBuild = errors.New("the laboratory does not build over that commit")

// mostTaken is how many parts are taken out of the laboratory before an older interface counts as too far away.
const mostTaken = 60

// BuildOf makes the Build of a commit of the repository at root, in a worktree and folder of its own under temp. It asks git
// and go, and nothing outside the repository but the modules that go.mod names.
func BuildOf(ctx context.Context, root, commit, temp string) (*Build, error) {
	folder, err := os.MkdirTemp(temp, "coralyard-build-")
	if err != nil {
		return nil, err
	}
	b := &Build{Commit: commit, folder: folder}
	tree := filepath.Join(folder, "tree")
	if out, err := command(ctx, root, "git", "worktree", "add", "--detach", tree, commit); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w: %s", commit, err, out), os.RemoveAll(folder))
	}
	err = b.build(ctx, root, tree)
	// The program is all that is needed from here on.
	out, gone := command(context.WithoutCancel(ctx), root, "git", "worktree", "remove", "--force", tree)
	if gone != nil {
		gone = fmt.Errorf("worktree of %s: %w: %s", commit, gone, out)
	}
	if err = errors.Join(err, gone); err != nil {
		return nil, errors.Join(err, b.Close())
	}
	return b, nil
}

// Close removes the program.
func (b *Build) Close() error { return os.RemoveAll(b.folder) }

func (b *Build) program() string { return filepath.Join(b.folder, "player") }

func command(ctx context.Context, dir, name string, args ...string) (string, error) {
	c := exec.CommandContext(ctx, name, args...)
	c.Dir = dir
	out, err := c.CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

func (b *Build) build(ctx context.Context, root, tree string) error {
	replace := map[string]string{}
	lay := func(dir string) error {
		files, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
		if err != nil {
			return err
		}
		for _, f := range files {
			if !strings.HasSuffix(f, "_test.go") {
				replace[filepath.Join(tree, dir, filepath.Base(f))] = f
			}
		}
		// What the other tree has there beside is in the way.
		old, err := filepath.Glob(filepath.Join(tree, dir, "*.go"))
		for _, f := range old {
			if _, ok := replace[f]; !ok {
				replace[f] = ""
			}
		}
		return err
	}
	for _, dir := range laid {
		if err := lay(dir); err != nil {
			return err
		}
	}
	for _, dir := range borrowed {
		files, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
		if err != nil {
			return err
		}
		for _, f := range files {
			at := filepath.Join(tree, dir, filepath.Base(f))
			if _, err := os.Stat(at); errors.Is(err, fs.ErrNotExist) && !strings.HasSuffix(f, "_test.go") {
				replace[at] = f
				b.Without = append(b.Without, filepath.Join(dir, filepath.Base(f))+", taken from this tree")
			}
		}
	}
	// Files that are embedded can't come by an overlay.
	files := filepath.Join(tree, "lab/days/files")
	if err := errors.Join(os.RemoveAll(files), os.CopyFS(files, os.DirFS(filepath.Join(root, "lab/days/files")))); err != nil {
		return err
	}
	for taken := 0; ; taken++ {
		overlay, err := json.Marshal(map[string]any{"Replace": replace})
		if err != nil {
			return err
		}
		list := filepath.Join(b.folder, "overlay.json")
		if err := os.WriteFile(list, overlay, 0o600); err != nil {
			return err
		}
		out, err := command(ctx, tree, "go", "build", "-modfile="+filepath.Join(root, "go.mod"), "-overlay="+list, "-gcflags=-e", "-o", b.program(), "./lab/player")
		if err == nil {
			return nil
		}
		faults := faultsIn(out)
		if ctx.Err() != nil || len(faults) == 0 || taken >= mostTaken {
			return fmt.Errorf("%w: %s: %s", ErrBuild, b.Commit, out)
		}
		if err := b.takeOut(faults, tree, replace); err != nil {
			return fmt.Errorf("%w: %s: %w", ErrBuild, b.Commit, err)
		}
	}
}

// fault is an error of the compiler.
type fault struct {
	file      string // from the tree's root
	line, col int
	text      string
}

var faultLine = regexp.MustCompile(`^(?:\./)?([^:\s]+\.go):(\d+):(\d+): (.+)$`)

func faultsIn(out string) (all []fault) {
	lines := bufio.NewScanner(strings.NewReader(out))
	for lines.Scan() {
		if m := faultLine.FindStringSubmatch(lines.Text()); m != nil {
			line, _ := strconv.Atoi(m[2]) // digits
			col, _ := strconv.Atoi(m[3])
			all = append(all, fault{m[1], line, col, m[4]})
		}
	}
	return all
}

// takeOut takes the parts at which the compiler failed out of copies of the laboratory's files, the later ones of a file
// first, and has the overlay name the copies.
func (b *Build) takeOut(faults []fault, tree string, replace map[string]string) error {
	slices.SortFunc(faults, func(x, y fault) int {
		return cmp.Or(cmp.Compare(x.file, y.file), cmp.Compare(y.line, x.line), cmp.Compare(y.col, x.col))
	})
	done := map[string]bool{}
	for _, f := range faults {
		if done[f.file] { // positions before it have not moved, but what it stands in may have gone
			continue
		}
		done[f.file] = true
		// The compiler names what it read: a file of the tree, or the one that is laid over it.
		at, source := "", f.file
		if !filepath.IsAbs(source) {
			source = filepath.Join(tree, source)
		}
		for laid, by := range replace {
			if by != "" && (laid == source || by == source) {
				at, source = laid, by
				break
			}
		}
		if at == "" {
			return fmt.Errorf("%s:%d: %s: it is not the laboratory's", f.file, f.line, f.text)
		}
		text, err := os.ReadFile(source)
		if err != nil {
			return err
		}
		without, err := cut(text, f.line, f.col)
		if err != nil {
			return fmt.Errorf("%s:%d: %s: %w", f.file, f.line, f.text, err)
		}
		copied := filepath.Join(b.folder, strings.ReplaceAll(strings.TrimPrefix(at, tree), "/", "-"))
		if err := os.WriteFile(copied, without, 0o600); err != nil {
			return err
		}
		replace[at] = copied
		b.Without = append(b.Without, f.text)
	}
	return nil
}

// cut takes the smallest part out of a source that stands by itself and holds a position: a field of a literal, a statement
// that returns nothing, a declaration.
func cut(text []byte, line, col int) ([]byte, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, "source.go", text, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	pos := files.File(file.Pos()).LineStart(line) + token.Pos(col-1)
	var from, to token.Pos
	ast.Inspect(file, func(n ast.Node) bool {
		if n == nil || pos < n.Pos() || pos >= n.End() {
			return false
		}
		var parts []ast.Node
		switch n := n.(type) {
		case *ast.File: // what else stands here is used elsewhere: nothing would be left of the laboratory
			for _, d := range n.Decls {
				if isInterface(d) {
					parts = append(parts, d)
				}
			}
		case *ast.GenDecl:
			for _, s := range n.Specs {
				if n.Tok == token.IMPORT {
					parts = append(parts, s)
				}
			}
		case *ast.CompositeLit:
			for _, e := range n.Elts {
				parts = append(parts, e)
			}
		case *ast.BlockStmt:
			for _, s := range n.List {
				parts = append(parts, s)
			}
		case *ast.CaseClause:
			for _, s := range n.Body {
				parts = append(parts, s)
			}
		}
		for _, p := range parts {
			switch p.(type) {
			case *ast.ReturnStmt: // what it is in can't do without it
				continue
			case *ast.KeyValueExpr:
			case ast.Expr:
				continue
			}
			if pos >= p.Pos() && pos < p.End() {
				from, to = p.Pos(), p.End()
			}
		}
		return true
	})
	if from == 0 {
		return nil, errors.New("nothing that stands by itself is there")
	}
	f := files.File(file.Pos())
	start, end := f.Offset(from), f.Offset(to)
	if end < len(text) && text[end] == ',' {
		end++
	}
	out := append(slices.Clone(text[:start]), text[end:]...)
	if formatted, err := format.Source(out); err == nil {
		out = formatted
	}
	return bytes.TrimSpace(out), nil
}

// isInterface tells that a declaration is of one interface, which a value may or may not have.
func isInterface(d ast.Decl) bool {
	g, ok := d.(*ast.GenDecl)
	if !ok || len(g.Specs) != 1 {
		return false
	}
	t, ok := g.Specs[0].(*ast.TypeSpec)
	if !ok {
		return false
	}
	_, ok = t.Type.(*ast.InterfaceType)
	return ok
}

// Arm plays a spec by this build, one process a day.
func (b *Build) Arm(spec *days.Spec) (Arm, error) {
	text, err := spec.Text()
	if err != nil {
		return Arm{}, err
	}
	file := filepath.Join(b.folder, spec.Name+".yaml")
	var once sync.Once
	return Arm{Name: b.Commit, Spec: spec, Play: func(ctx context.Context, seed uint64) (o days.Outcome, err error) {
		once.Do(func() { err = os.WriteFile(file, text, 0o600) })
		if err != nil {
			return o, err
		}
		c := exec.CommandContext(ctx, b.program(), file, strconv.FormatUint(seed, 10))
		var words bytes.Buffer
		c.Stderr = &words
		out, err := c.Output()
		if err != nil {
			return o, fmt.Errorf("%s: %w: %s", b.Commit, err, words.String())
		}
		return o, json.Unmarshal(out, &o)
	}}, nil
}
