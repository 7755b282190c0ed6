package peers

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Headers of a duty's call. Whoever serves the URL keeps the largest token that it has seen and refuses a call with a smaller one, by 409:
// its caller was stopped for longer than its lease lasted. In the answer it may name that largest token.
const (
	LeaseHeader  = "Coralyard-Lease"
	TokenHeader  = "Coralyard-Token"
	NodeHeader   = "Coralyard-Node"
	WithinHeader = "Coralyard-Within-Ms" // the longest that the call may last
)

// serve does a duty whenever this node holds its lease, until ctx ends.
func (s *Service) serve(ctx context.Context, d Duty) {
	name := "duty/" + d.Name
	if err := s.leases.want(ctx, name); err != nil {
		if ctx.Err() == nil {
			s.o.Log.Error("a duty is not done by this node", "duty", d.Name, "err", err)
		}
		return
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, Proxy: nil}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	next := s.now()
	for {
		news := s.leases.news()
		wait := next - s.now()
		if wait <= 0 {
			token, until, ok := s.leases.may(name, d.Within)
			if ok {
				next = s.now() + d.Every
				s.act(ctx, client, d, name, token, until)
				continue
			}
			wait = time.Hour // the lease's news come first
		} else {
			news = nil
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-news:
		case <-t.C:
		}
		t.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// act is one call. It ends, as far as this node can tell, before its lease does.
func (s *Service) act(ctx context.Context, client *http.Client, d Duty, name string, token uint64, until time.Duration) {
	within := min(d.Within, until-s.now())
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	err := func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.URL, http.NoBody)
		if err != nil {
			return err
		}
		req.Header.Set(LeaseHeader, name)
		req.Header.Set(TokenHeader, strconv.FormatUint(token, 10))
		req.Header.Set(NodeHeader, s.self.Name)
		req.Header.Set(WithinHeader, strconv.FormatInt(within.Milliseconds(), 10))
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if last, err := strconv.ParseUint(resp.Header.Get(TokenHeader), 10, 64); err == nil && resp.StatusCode == http.StatusConflict && last > token {
			s.leases.behind(ctx, name, last)
		}
		if resp.StatusCode/100 != 2 {
			return fmt.Errorf("answered %s", resp.Status)
		}
		return nil
	}()
	if err != nil && ctx.Err() != context.Canceled {
		s.o.Log.Warn("a duty was not done", "duty", d.Name, "token", token, "err", err)
	}
}
