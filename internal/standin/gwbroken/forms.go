// Package gwbroken is a server whose answers do not follow HTTP, for tests of programs that read answers.
package gwbroken

import (
	_ "embed" // for the forms
	"errors"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrBadForms reports a list of forms that cannot be read.
var ErrBadForms = errors.New("bad list of forms of answers")

//go:embed forms.txt
var formsText string

// Answer is what an answer says, in whatever form.
type Answer struct {
	// Status is the code and the phrase, such as "200 OK".
	Status string
	// Fields are the header lines beside the one that delimits the body, each with its line end. The text {id} in them
	// stands for the id of the request.
	Fields string
	Body   string
}

// Form is a way to write an answer.
type Form struct {
	Name string
	text string
}

// Sound is the name of the form that follows HTTP.
const Sound = "sound"

// Forms returns all forms, of which the first is sound.
func Forms() ([]Form, error) {
	var forms []Form
	_, lines, _ := strings.Cut(formsText, "\n\n")
	for line := range strings.Lines(lines) {
		name, quoted, ok := strings.Cut(strings.TrimSpace(line), " ")
		if name == "" {
			continue
		}
		text, err := strconv.Unquote(strings.TrimSpace(quoted))
		if !ok || err != nil {
			return nil, eris.Wrapf(ErrBadForms, "line %q", line)
		}
		forms = append(forms, Form{Name: name, text: text})
	}
	if len(forms) == 0 || forms[0].Name != Sound {
		return nil, eris.Wrap(ErrBadForms, "the first form is not sound")
	}
	return forms, nil
}

// Write returns an answer in this form.
func (f Form) Write(a Answer) string {
	return strings.NewReplacer(
		"{status}", a.Status, "{fields}", a.Fields, "{body}", a.Body,
		"{length}", strconv.Itoa(len(a.Body)), "{size}", strconv.FormatInt(int64(len(a.Body)), 16),
	).Replace(f.text)
}
