package cli

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/config/check"
	"github.com/wasabigate/wasabigate/internal/configstore"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// GatewayConfigs reads configurations of gateways, which are JSON objects.
type GatewayConfigs interface {
	// Parse decodes a configuration. An error is of type config.Faults.
	Parse(text []byte) (*check.Gateway, error)
	// Current returns the configuration in force in the key-value service at baseURL, or
	// platform.ErrNotFound.
	Current(ctx context.Context, baseURL string) ([]byte, error)
}

// checkResult is the result of config check.
type checkResult struct {
	Digest     string `json:"digest"`
	Models     int    `json:"models"`
	Groups     int    `json:"groups"`
	Workspaces int    `json:"workspaces"`
	Keys       int    `json:"keys"`
	Routes     int    `json:"routes"`
	findings
}

func (c *checkResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "valid: %d models, %d groups, %d workspaces, %d keys, %d routes\ndigest %s\n",
		c.Models, c.Groups, c.Workspaces, c.Keys, c.Routes, c.Digest)
	c.findings.writeText(w)
}

// gatewayResult is the result of config check for a configuration of gateways.
type gatewayResult struct {
	Version    uint64 `json:"version"`
	Routes     int    `json:"routes"`
	Services   int    `json:"services"`
	Workspaces int    `json:"workspaces"`
	findings
}

func (g *gatewayResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "valid: version %d for gateways, %d routes, %d services, %d workspaces\n", g.Version, g.Routes, g.Services, g.Workspaces)
	g.findings.writeText(w)
}

// findings is the part of the results that all configurations have.
type findings struct {
	// Warnings is empty, not null, if there are none.
	Warnings []check.Warning `json:"warnings"`
	Current  *currentResult  `json:"against_current,omitempty"`
}

// currentResult is the difference from the configuration in force to the checked one.
type currentResult struct {
	Revision uint64         `json:"revision"` // or version; 0 if none is in force
	Changes  []check.Change `json:"changes"`
}

func newCurrentResult(revision uint64, from, to []config.Section) *currentResult {
	return &currentResult{revision, append([]check.Change{}, check.Compare(from, to)...)}
}

func (f *findings) writeText(w io.Writer) {
	for _, warning := range f.Warnings {
		fmt.Fprintf(w, "warning: %v\n", warning)
	}
	if f.Current == nil {
		return
	}
	fmt.Fprintf(w, "%d changes from revision %d\n", len(f.Current.Changes), f.Current.Revision)
	for _, change := range f.Current.Changes {
		fmt.Fprintln(w, change)
	}
}

// setWarnings sets the warnings with their source file.
func (f *findings) setWarnings(s *session, warnings []check.Warning) {
	f.Warnings = []check.Warning{}
	for _, warning := range warnings {
		warning.Source = s.command.Args().First()
		f.Warnings = append(f.Warnings, warning)
	}
}

func configCheck(ctx context.Context, s *session, gateways GatewayConfigs) error {
	text, err := s.readDocument()
	if err != nil {
		return err
	}
	// No line of a document starts with a brace.
	if gateways != nil && bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		return s.checkGateways(ctx, text, gateways)
	}
	return s.checkDocument(ctx, text)
}

func (s *session) checkDocument(ctx context.Context, text []byte) error {
	d, err := s.parse(text)
	if err != nil {
		return err
	}
	digest := configstore.Digest(text)
	sections := config.Sections(text)
	out := &checkResult{Digest: hex.EncodeToString(digest[:]), Models: len(d.Models), Groups: len(d.Groups),
		Workspaces: len(d.Workspaces), Keys: len(d.Keys), Routes: len(d.Routes)}
	var withdrawn func(id string) bool
	if s.command.Bool(flagAgainstCurrent) {
		state, err := s.currentState(ctx)
		if err != nil {
			return err
		}
		var current []config.Section
		if state.Revision != nil {
			current, withdrawn = config.Sections(state.Revision.Text), state.Revision.KeyWithdrawn
		}
		out.Current = newCurrentResult(state.Number(), current, sections)
	}
	out.setWarnings(s, check.Document(d, sections, withdrawn))
	return s.printFindings(out, &out.findings)
}

// currentState returns the state in force; its revision is nil if there is no document.
func (s *session) currentState(ctx context.Context) (*configstore.State, error) {
	store, err := s.store()
	if err != nil {
		return nil, err
	}
	return store.Read(ctx)
}

func (s *session) checkGateways(ctx context.Context, text []byte, gateways GatewayConfigs) error {
	parsed, err := gateways.Parse(text)
	if err != nil {
		return s.withSource(err)
	}
	c := parsed.Config
	out := &gatewayResult{Version: c.Version, Routes: len(c.Routes), Services: len(c.Services), Workspaces: len(c.Workspaces)}
	warnings := parsed.Warnings()
	if s.command.Bool(flagAgainstCurrent) {
		current, err := s.currentGateways(ctx, gateways)
		if err != nil {
			return err
		}
		out.Current = newCurrentResult(current.Config.Version, current.Sections, parsed.Sections)
		if current.Config.Version > 0 {
			warnings = append(warnings, parsed.AccessWarnings(current.Config)...)
		}
	}
	out.setWarnings(s, warnings)
	return s.printFindings(out, &out.findings)
}

// currentGateways returns the gateways' configuration in force, or one of version 0 if there is
// none.
func (s *session) currentGateways(ctx context.Context, gateways GatewayConfigs) (*check.Gateway, error) {
	url, err := s.requiredFlag(flagKeyValue)
	if err != nil {
		return nil, err
	}
	text, err := gateways.Current(ctx, url)
	if errors.Is(err, platform.ErrNotFound) {
		return &check.Gateway{Config: (&deployment.Config{}).Index()}, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the gateways' configuration")
	}
	current, err := gateways.Parse(text)
	if err != nil {
		// Not returned as Faults, which would count as those of the checked file.
		return nil, fail(ExitFailure, "", "the gateways' configuration in force is invalid: %v", err)
	}
	return current, nil
}

// printFindings prints a result. The exit code says whether there are warnings.
func (s *session) printFindings(result textWriter, found *findings) error {
	if err := s.print(result); err != nil || len(found.Warnings) == 0 {
		return err
	}
	return exitWith(ExitWarnings)
}
