package lab

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

// Code that runs under the virtual clock must not read another clock: no package of the cores may call time.Now, Since, Sleep
// or After, or use the default random source, since days would then not be reproducible.
func TestNoWallClock(t *testing.T) {
	files := token.NewFileSet()
	for _, dir := range []string{"../../policy", "../../session", "../core", "../rtsp", "../front", "../fair", "../life", "../registry", "../meter",
		"../standin/mediabox", "../standin/player"} {
		err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && path != dir {
				return filepath.SkipDir
			}
			if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			file, err := parser.ParseFile(files, path, text, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				selector, ok := node.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				pkg, ok := selector.X.(*ast.Ident)
				if !ok {
					return true
				}
				switch pkg.Name + "." + selector.Sel.Name {
				case "time.Now", "time.Since", "time.Sleep", "time.After", "time.AfterFunc", "time.NewTimer", "rand.IntN", "rand.Float64", "rand.Perm",
					"rand.Shuffle", "rand.Int64N", "rand.ExpFloat64":
					t.Errorf("%s: %s.%s is not allowed under the virtual clock", files.Position(selector.Pos()), pkg.Name, selector.Sel.Name)
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// Iteration order of maps differs from run to run, and code that depends on it gives another digest in one of five runs.
// The day has a registry, a queue, kills and drains, and is played on one processor and on all.
func TestSameDigest(t *testing.T) {
	registryDay, err := Library("registry")
	if err != nil {
		t.Fatal(err)
	}
	text, err := SetValues(registryDay.Text, map[string]string{"load.length": "8", "load.rate": "60", "door.waiting": "200"})
	if err != nil {
		t.Fatal(err)
	}
	first := ""
	for i := range 5 {
		day, err := Parse("digest", text)
		if err != nil {
			t.Fatal(err)
		}
		if i == 4 {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		}
		row, err := Run(day, "")
		if err != nil {
			t.Fatal(err)
		}
		if first == "" {
			first = row.Digest
		}
		if row.Digest != first || row.Odd > 0 {
			t.Fatalf("run %d: expected digest %s, got %s; notes: %v", i, first, row.Digest, row.Notes)
		}
	}
}
