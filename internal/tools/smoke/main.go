// Smoke checks a running system through the callers' API and prints one line for
// each check: ok or FAIL, and its name.
//
// Usage: smoke -router URL -key KEY -model NAME [-lookup PATH] [-order PATH]
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	startTimeout   = 15 * time.Second
	requestTimeout = 10 * time.Second
	promptWords    = 400
	maxTokens      = 16
)

// checker runs checks against one router.
type checker struct {
	router string
	key    string
	model  string
	lookup string
	order  string
	prompt string
	client *http.Client
}

type check struct {
	name string
	run  func() error
}

func main() {
	c := &checker{client: &http.Client{Timeout: requestTimeout}}
	flag.StringVar(&c.router, "router", "", "base URL of a router")
	flag.StringVar(&c.key, "key", "", "key of a workspace")
	flag.StringVar(&c.model, "model", "", "name of the model")
	flag.StringVar(&c.lookup, "lookup", "/desk/lookup/7", "path of a lookup")
	flag.StringVar(&c.order, "order", "/desk/orders", "path of an at-most-once route")
	flag.Parse()
	c.prompt = uuid.NewString() + strings.Repeat(" the class roll of 1968", promptWords)
	if !c.runAll() {
		os.Exit(1)
	}
}

func (c *checker) runAll() bool {
	checks := []check{
		{"router is ready", c.waitReady},
		{"streamed completion", c.checkStream},
		{"repeated completion hits the cached prefix", c.checkCachedPrefix},
		{"lookup at the door", c.checkLookup},
		{"order sent twice runs once", c.checkRepeatedOrder},
		{"bad key is refused", c.checkInvalidKey},
	}
	passed := true
	for _, check := range checks {
		err := check.run()
		if err != nil {
			passed = false
			fmt.Printf("FAIL %s: %v\n", check.name, err)
			continue
		}
		fmt.Printf("ok %s\n", check.name)
	}
	return passed
}

// waitReady waits until the router is ready and knows the backend servers.
func (c *checker) waitReady() error {
	deadline := time.Now().Add(startTimeout)
	var lastErr error
	for time.Now().Before(deadline) {
		if lastErr = c.checkReady(); lastErr == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return lastErr
}

func (c *checker) checkReady() error {
	_, body, err := c.send(http.MethodGet, "/readyz", c.key, "", "")
	if err != nil {
		return err
	}
	if string(body) != "ready\n" {
		return errors.Errorf("not ready: %s", body)
	}
	_, err = c.complete("hello")
	return err
}

// send sends one request and returns its response with the body.
func (c *checker) send(method, path, key, idempotencyKey, body string) (*http.Response, []byte, error) {
	req, err := http.NewRequest(method, c.router+path, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	return resp, respBody, err
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type completionResponse struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage struct {
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (c *checker) requestBody(prompt string, stream bool) string {
	encoded, _ := json.Marshal(completionRequest{c.model, prompt, maxTokens, stream})
	return string(encoded)
}

func (c *checker) complete(prompt string) (*completionResponse, error) {
	resp, body, err := c.send(http.MethodPost, "/v1/completions", c.key, "", c.requestBody(prompt, false))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d: %s", resp.StatusCode, body)
	}
	var response completionResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, err
	}
	if len(response.Choices) != 1 || response.Choices[0].Text == "" {
		return nil, errors.Errorf("no text in %s", body)
	}
	return &response, nil
}

func (c *checker) checkStream() error {
	_, body, err := c.send(http.MethodPost, "/v1/completions", c.key, "", c.requestBody(c.prompt, true))
	if err != nil {
		return err
	}
	chunks := 0
	scanner := bufio.NewScanner(bytes.NewReader(body))
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" && chunks > maxTokens {
			return nil
		}
		chunks++
	}
	return errors.Errorf("stream is not complete after %d chunks: %.300s", chunks, body)
}

func (c *checker) checkCachedPrefix() error {
	response, err := c.complete(c.prompt)
	if err != nil {
		return err
	}
	if response.Usage.PromptTokensDetails.CachedTokens == 0 {
		return errors.New("no cached tokens")
	}
	return nil
}

func (c *checker) checkLookup() error {
	return c.expect(http.StatusOK)(c.send(http.MethodGet, c.lookup, c.key, "", ""))
}

func (c *checker) expect(status int) func(*http.Response, []byte, error) error {
	return func(resp *http.Response, body []byte, err error) error {
		if err != nil {
			return err
		}
		if resp.StatusCode != status {
			return errors.Errorf("status %d, want %d: %s", resp.StatusCode, status, body)
		}
		return nil
	}
}

func (c *checker) checkRepeatedOrder() error {
	key := uuid.NewString()
	order := fmt.Sprintf(`{"order":%q}`, key)
	first, firstBody, err := c.send(http.MethodPost, c.order, c.key, key, order)
	if err != nil {
		return err
	}
	second, secondBody, err := c.send(http.MethodPost, c.order, c.key, key, order)
	if err != nil {
		return err
	}
	if first.StatusCode/100 != 2 || first.StatusCode != second.StatusCode || !bytes.Equal(firstBody, secondBody) {
		return errors.Errorf("answers differ: %d %s, %d %s", first.StatusCode, firstBody, second.StatusCode, secondBody)
	}
	if second.Header.Get("Idempotent-Replayed") != "true" {
		return errors.New("the second order was not answered from the record")
	}
	return nil
}

func (c *checker) checkInvalidKey() error {
	return c.expect(http.StatusUnauthorized)(c.send(http.MethodPost, "/v1/completions", c.key+"x", "", c.requestBody("hello", false)))
}
