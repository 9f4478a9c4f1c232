package demonstrator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// outcome is the result of one call.
type outcome struct {
	broken     bool
	wrong      bool
	inTime     bool
	firstToken time.Duration
	tokens     int64
}

func (t *tally) record(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.wrong {
		t.wrong++
	}
	if o.broken {
		t.broken++
		return
	}
	t.served++
	t.tokens += o.tokens
	t.slowestFirstToken = max(t.slowestFirstToken, o.firstToken)
	if o.inTime {
		t.inTime++
	}
}

// recordRefusal counts a refusal and returns its code and whether it says that the request ran.
func (t *tally) recordRefusal(response *http.Response) (code, ran string) {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Ran     string `json:"ran"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.NewDecoder(response.Body).Decode(&body)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused++
	t.lastRefusal = body.Error.Code + ": " + body.Error.Message
	if body.Error.Ran == "not-run" {
		t.refusedNotRun[response.Header.Get("X-Request-Id")] = true
	}
	return body.Error.Code, body.Error.Ran
}

type chatAnswer struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	}
}

func readStream(response *http.Response, started time.Time) outcome {
	var (
		o       outcome
		content strings.Builder
		done    bool
	)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			done = true
			continue
		}
		if o.firstToken == 0 {
			o.firstToken = time.Since(started)
		}
		var answer chatAnswer
		if json.Unmarshal(data, &answer) == nil && len(answer.Choices) > 0 {
			content.WriteString(answer.Choices[0].Delta.Content)
		}
		o.count(answer)
	}
	o.broken = !done
	o.wrong = done && !answersRequest(content.String(), response.Header.Get("X-Request-Id"))
	return o
}

func readWhole(response *http.Response) outcome {
	data, err := io.ReadAll(response.Body)
	o := outcome{broken: err != nil}
	var answer chatAnswer
	if json.Unmarshal(data, &answer) != nil || len(answer.Choices) == 0 {
		o.broken = true
		return o
	}
	o.count(answer)
	o.wrong = !answersRequest(answer.Choices[0].Message.Content, response.Header.Get("X-Request-Id"))
	return o
}

func (o *outcome) count(a chatAnswer) {
	if a.Usage != nil {
		o.tokens = a.Usage.PromptTokens + a.Usage.CompletionTokens
	}
}

// answersRequest reports whether content consists of the words that an engine answers to
// the request with this id, in order and from the first.
func answersRequest(content, id string) bool {
	words := strings.Fields(content)
	for n, word := range words {
		if word != fmt.Sprintf("%s/%d", id, n) {
			return false
		}
	}
	return len(words) > 0
}
