// Command 8 plays a case: a node is killed whose lease a job runs by.
// The job is a command of a shell script.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/stage"
)

const settings = `{"fleetSize":3,"categories":[
	{"name":"table-status","effect":"idempotent","aim":4000,"deadline":12000,"worth":1,"lateWorth":0.3}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":11000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":16},
	"failureDomains":["a"],"flavors":["plain"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":200,"maxRetryAfter":3000,"retryAfter":true},
	"tick":5,"weights":"rough"}`

const term = 3 * time.Second

// act is something that a job did at the server that it works on.
type act struct {
	job   string
	token uint64
	at    time.Time
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "job" {
		job(os.Args[2], os.Args[3])
		return
	}
	s := stage.Open()
	var mu sync.Mutex
	var acts []act
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.Must(err, "server")
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strconv.ParseUint(r.Header.Get("Coralyard-Token"), 10, 64)
		mu.Lock()
		defer mu.Unlock()
		acts = append(acts, act{r.Header.Get("Job"), token, time.Now()})
		s.Note("server: job of %s acts by token %d", r.Header.Get("Job"), token)
	}))
	agent := s.Agent("all", nil)
	var talk, clients [3]string
	for i := range talk {
		talk[i], clients[i] = s.FreeAddr(), s.FreeAddr()
	}
	var nodes [3]*stage.Process
	for i := range talk {
		name := stage.Number("n", i)
		folder := filepath.Join(s.Folder, name)
		s.Must(os.MkdirAll(filepath.Join(folder, "state"), 0o700), "folder")
		s.WriteConfig(filepath.Join(folder, "config.json"), name, clients[i], agent.Addr, settings, nil)
		peers := fmt.Sprintf("name: %s\nmachine: m%d\nlisten: %s\nvoters: [n0, n1, n2]\nseeds: [%q, %q, %q]\nleases:\n  term: %v\n",
			name, i, talk[i], talk[0], talk[1], talk[2], term)
		s.Must(os.WriteFile(filepath.Join(folder, "peers.yaml"), []byte(peers), 0o600), "peers")
		nodes[i] = s.Daemon(name, "ROUTER_NAME="+name, "ROUTER_CONFIG="+filepath.Join(folder, "config.json"),
			"ROUTER_STATE="+filepath.Join(folder, "state"), "CORALYARD_PEERS="+filepath.Join(folder, "peers.yaml"))
	}
	for i := range clients {
		if !s.Ready(clients[i], 20*time.Second) {
			s.End(stage.NotRun, "node %d is not ready", i)
		}
	}
	self, err := os.Executable()
	s.Must(err, "program")
	do := func(i int) *stage.Process {
		name := stage.Number("n", i)
		return s.Start("do-at-"+name, []string{"CORALYARD_PEERS=" + filepath.Join(s.Folder, name, "peers.yaml")},
			s.Program(), "lease", "do", "nightly", "--", "/bin/sh", "-c", self+" job "+name+" "+ln.Addr().String()+"; echo done")
	}
	of := func(job string) (all []act) {
		mu.Lock()
		defer mu.Unlock()
		for _, a := range acts {
			if a.job == job {
				all = append(all, a)
			}
		}
		return all
	}
	do(0)
	if !stage.Until(20*time.Second, func() bool { return len(of("n0")) > 5 }) {
		s.End(stage.NotRun, "the first job does not run")
	}
	do(1)
	time.Sleep(3 * term)
	if len(of("n1")) > 0 {
		s.End(stage.NotRun, "both run with no trouble")
	}
	if !s.Trouble {
		time.Sleep(5 * time.Second)
		if len(of("n1")) > 0 {
			s.End(stage.Broken, "both jobs run with no trouble")
		}
		s.End(stage.Held, "one job alone runs")
	}
	nodes[0].Signal(syscall.SIGKILL)
	stage.Until(5*term, func() bool { return len(of("n1")) > 0 })
	time.Sleep(5 * time.Second)
	one, two := of("n0"), of("n1")
	if len(two) == 0 {
		s.End(stage.NotRun, "the second job never runs")
	}
	late := 0
	for _, a := range one {
		if a.at.After(two[0].at) {
			late++
		}
	}
	if late > 0 {
		s.End(stage.Broken, "the job of n0 acted %d times by token %d after the job of n1 had begun by token %d", late, one[0].token, two[0].token)
	}
	s.End(stage.Held, "one job after the other")
}

// job acts at a server ten times a second, until it is ended.
func job(name, server string) {
	for {
		req, err := http.NewRequest(http.MethodPost, "http://"+server+"/", strings.NewReader(""))
		if err != nil {
			return
		}
		req.Header.Set("Job", name)
		req.Header.Set("Coralyard-Token", os.Getenv("CORALYARD_TOKEN"))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		time.Sleep(100 * time.Millisecond)
	}
}
