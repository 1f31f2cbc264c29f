package gwstore

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// errBadAnswer reports an answer that does not follow the protocol.
var errBadAnswer = errors.New("bad answer of the store")

const (
	pathValue          = "/v1/value"
	pathValues         = "/v1/values"
	pathWatch          = "/v1/watch"
	pathCompareAndSwap = "/v1/compare-and-swap"

	// valueAnswerBytes is the size of a largest value in base64 with 64 KiB for key and version.
	valueAnswerBytes = (gw.MaxValueBytes+2)/3*4 + 64<<10
	// listAnswerBytes bounds the memory that one list may take.
	listAnswerBytes = 64 << 20
)

// errorCodes are the statuses and codes with which the store refuses a call. Each promises that the call had
// no effect.
var errorCodes = map[int]struct {
	code   string
	result callResult
	err    error
}{
	http.StatusBadRequest:            {"bad-request", resultRefused, ErrRefused},
	http.StatusNotFound:              {"not-found", resultNotFound, gw.ErrNotFound},
	http.StatusConflict:              {"conflict", resultConflict, gw.ErrConflict},
	http.StatusRequestEntityTooLarge: {"value-too-large", resultTooLarge, gw.ErrValueTooLarge},
	http.StatusTooManyRequests:       {"call-limit", resultLimited, gw.ErrStoreUnavailable},
	http.StatusServiceUnavailable:    {"unavailable", resultUnavailable, gw.ErrStoreUnavailable},
}

type valueMessage struct {
	Key     string          `json:"key"`
	Version gw.StoreVersion `json:"version"`
	Data    []byte          `json:"data"`
}

type swapMessage struct {
	Key      string          `json:"key"`
	Expected gw.StoreVersion `json:"expected"`
	Data     []byte          `json:"data"`
}

// checkKey refuses a key that JSON cannot carry: the encoder would replace its bytes and name another key.
func checkKey(key string) error {
	if key == "" || !utf8.ValidString(key) {
		return eris.Wrap(ErrRefused, "key is empty or not UTF-8")
	}
	return nil
}

// decodeRefusal returns the error that a refusal stands for. A status without the code that belongs to it may
// come from something between here and the store, and promises nothing.
func decodeRefusal(status int, body []byte) (callResult, error) {
	known, ok := errorCodes[status]
	var message struct {
		Error  string `json:"error"`
		Detail string `json:"detail"`
	}
	if !ok || json.Unmarshal(body, &message) != nil || message.Error != known.code {
		return resultBadAnswer, eris.Wrapf(errBadAnswer, "status %d", status)
	}
	return known.result, eris.Wrapf(known.err, "store refused with %s: %s", known.code, message.Detail)
}

// decodeValue reads the answer to a get or a watch of key, whose version must be above after.
func decodeValue(body []byte, key string, after gw.StoreVersion) (gw.StoredValue, error) {
	var message valueMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return gw.StoredValue{}, eris.Wrapf(errBadAnswer, "value: %v", err)
	}
	if message.Key != key {
		return gw.StoredValue{}, eris.Wrapf(errBadAnswer, "value of another key")
	}
	if message.Version <= after {
		return gw.StoredValue{}, eris.Wrapf(errBadAnswer, "version %d is not above %d", message.Version, after)
	}
	return message.value()
}

// decodeList reads the answer to a list.
func decodeList(body []byte, prefix string) ([]gw.StoredValue, error) {
	var message struct {
		Values []valueMessage `json:"values"`
	}
	if err := json.Unmarshal(body, &message); err != nil {
		return nil, eris.Wrapf(errBadAnswer, "list: %v", err)
	}
	values := make([]gw.StoredValue, 0, len(message.Values))
	for i, v := range message.Values {
		if !strings.HasPrefix(v.Key, prefix) || (i > 0 && v.Key <= message.Values[i-1].Key) {
			return nil, eris.Wrapf(errBadAnswer, "list: key %d is out of order or of another prefix", i)
		}
		value, err := v.value()
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}

func (m valueMessage) value() (gw.StoredValue, error) {
	if m.Version == 0 {
		return gw.StoredValue{}, eris.Wrap(errBadAnswer, "version is zero")
	}
	if len(m.Data) > gw.MaxValueBytes {
		return gw.StoredValue{}, eris.Wrapf(errBadAnswer, "value of %d bytes", len(m.Data))
	}
	return gw.StoredValue{Key: m.Key, Version: m.Version, Data: m.Data}, nil
}

// decodeVersion reads the answer to a compare-and-swap, whose version must be above the expected one.
func decodeVersion(body []byte, expected gw.StoreVersion) (gw.StoreVersion, error) {
	var message struct {
		Version gw.StoreVersion `json:"version"`
	}
	if err := json.Unmarshal(body, &message); err != nil {
		return 0, eris.Wrapf(errBadAnswer, "version: %v", err)
	}
	if message.Version <= expected {
		return 0, eris.Wrapf(errBadAnswer, "version %d is not above %d", message.Version, expected)
	}
	return message.Version, nil
}
