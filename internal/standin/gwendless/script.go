package gwendless

import (
	"errors"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrBadScript reports a script that cannot be read.
var ErrBadScript = errors.New("bad script of endless answers")

// Answer is an answer that never ends.
type Answer struct {
	// Start is sent once. The text {id} in it stands for the request's header IDHeader.
	Start    string
	IDHeader string
	// Piece is sent again and again. It must not be empty.
	Piece string
	// Unasked makes the server answer as soon as the first byte arrives, which need not be an HTTP request.
	Unasked bool
	// Slow makes the server send a few bytes at a time, with pauses between them.
	Slow bool
}

// Case is a case of a script.
type Case struct {
	Name   string
	Answer Answer
	// Options are the words after the name.
	Options []string
	// Want are the words that say what is expected.
	Want []string
}

// ParseCases reads a script. It consists of blocks that are separated by empty lines; the first block is a comment.
// The lines of the others are: the name and the options; start and piece, each with a Go string; fast and slow, each
// with what is expected when the answer arrives that way. A case is returned for each of the last two lines.
func ParseCases(script []byte, idHeader string) ([]Case, error) {
	_, blocks, _ := strings.Cut(string(script), "\n\n")
	var cases []Case
	for block := range strings.SplitSeq(strings.TrimSpace(blocks), "\n\n") {
		lines := strings.Split(block, "\n")
		name := strings.Fields(lines[0])
		answer := Answer{IDHeader: idHeader}
		for _, line := range lines[1:] {
			var err error
			word, rest, _ := strings.Cut(line, " ")
			switch word {
			case "start":
				answer.Start, err = strconv.Unquote(rest)
			case "piece":
				answer.Piece, err = strconv.Unquote(rest)
			case "fast", "slow":
				a := answer
				a.Slow = word == "slow"
				cases = append(cases, Case{
					Name: name[0] + "-" + word, Answer: a, Options: name[1:], Want: strings.Fields(rest),
				})
			default:
				err = ErrBadScript
			}
			if err != nil {
				return nil, eris.Wrapf(err, "%s: %s", name[0], line)
			}
		}
		if answer.Piece == "" {
			return nil, eris.Wrapf(ErrBadScript, "%s has no piece", name[0])
		}
	}
	return cases, nil
}
