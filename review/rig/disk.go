package rig

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Peak watches a folder: its size counts as the deployment says, each file in whole 512 bytes. It goes on until it is told to stop, and keeps the
// largest size of files that were surely there at one moment.
type Peak struct {
	mu    sync.Mutex
	bytes int64
	files map[string]int64
	looks int64
	stop  chan struct{}
	over  sync.WaitGroup
}

type seen struct {
	size  int64
	inode uint64
}

func look(dir string, names []string) (map[string]seen, bool) {
	all := map[string]seen{}
	for _, name := range names {
		info, err := os.Lstat(filepath.Join(dir, name))
		if err != nil {
			continue
		}
		all[name] = seen{info.Size(), info.Sys().(*syscall.Stat_t).Ino}
	}
	return all, len(all) > 0
}

// WatchFolder begins to watch a folder. A sum counts if the files before and after the look are the same ones: then all of them
// were there together, with at least the smaller of both sizes.
func WatchFolder(dir string) *Peak {
	p := &Peak{stop: make(chan struct{})}
	p.over.Go(func() {
		var names []string
		var listed time.Time
		for {
			select {
			case <-p.stop:
				return
			default:
			}
			// Names that may come again are looked for without listing the folder each time.
			if time.Since(listed) > 20*time.Millisecond {
				entries, _ := os.ReadDir(dir)
				for _, e := range entries {
					known := false
					for _, n := range names {
						known = known || n == e.Name()
					}
					if !known {
						names = append(names, e.Name())
					}
				}
				for _, n := range append([]string{}, names...) {
					next := n + ".new"
					known := len(n) > 4 && n[len(n)-4:] == ".new"
					for _, m := range names {
						known = known || m == next
					}
					if !known {
						names = append(names, next)
					}
				}
				listed = time.Now()
			}
			before, _ := look(dir, names)
			after, _ := look(dir, names)
			sum, files := int64(0), map[string]int64{}
			for name, b := range before {
				if a, ok := after[name]; ok && a.inode == b.inode {
					size := (min(a.size, b.size) + 511) / 512 * 512
					sum += size
					files[name] = size
				}
			}
			p.mu.Lock()
			p.looks++
			if sum > p.bytes {
				p.bytes, p.files = sum, files
			}
			p.mu.Unlock()
		}
	})
	return p
}

// Stop ends the watch, and returns the largest sum and the files that made it up.
func (p *Peak) Stop() (bytes int64, files map[string]int64, looks int64) {
	close(p.stop)
	p.over.Wait()
	return p.bytes, p.files, p.looks
}
