package server

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// chatMessages are the contents of a request's messages, one after another. The messages
// themselves are not kept: many small ones would take far more memory than their text.
type chatMessages struct {
	count  int
	prompt []byte
}

type chatMessage struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is a message's text in a prompt, which it is the last part of.
type content struct {
	prompt *[]byte
	start  int
}

// UnmarshalJSON implements json.Unmarshaler.
func (c content) UnmarshalJSON(data []byte) error {
	*c.prompt = append((*c.prompt)[:c.start], data...)
	return nil
}

// UnmarshalJSON implements json.Unmarshaler. The data is valid JSON.
func (m *chatMessages) UnmarshalJSON(data []byte) error {
	*m = chatMessages{}
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	if data[0] != '[' {
		return &json.UnmarshalTypeError{Value: "a value that is no list", Type: reflect.TypeFor[[]chatMessage]()}
	}
	m.prompt = make([]byte, 0, len(data))
	for rest := data[1:]; ; {
		element, after := nextElement(rest)
		if len(bytes.TrimSpace(element)) == 0 {
			return nil
		}
		message := chatMessage{Content: content{&m.prompt, len(m.prompt)}}
		if err := json.Unmarshal(element, &message); err != nil {
			return err
		}
		m.count++
		rest = after
	}
}

// nextElement returns the first element of the rest of a valid list, and what follows its
// comma or the end of the list.
func nextElement(rest []byte) (element, after []byte) {
	depth, quoted := 0, false
	for i := 0; i < len(rest); i++ {
		switch c := rest[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			depth++
		case depth > 0 && (c == '}' || c == ']'):
			depth--
		case depth == 0 && (c == ',' || c == ']'):
			return rest[:i], rest[i+1:]
		}
	}
	return nil, nil
}
