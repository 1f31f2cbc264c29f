package geraniumworks

import "net/http"

// CallerHead is what the head of a caller's request says besides method, path and body.
type CallerHead struct {
	// ID is the caller's own id of the request, empty when it has none.
	ID     string
	Tenant TenantName
	// Credential is the key with which the caller authenticates, empty when it sends none.
	Credential string
	// TimeoutMilliseconds is how long the caller waits; HasTimeout is false when it does not say.
	TimeoutMilliseconds int64
	HasTimeout          bool
}

// CallerProtocol translates between callers and the request path.
type CallerProtocol interface {
	// Decode reads the head of a request. It refuses contradictory heads with ReasonBadRequest.
	Decode(h http.Header) (CallerHead, *Refusal)
	// IdentityHeaders names the headers with the credential and the tenant of a caller. They are not passed on when the
	// configuration requires keys.
	IdentityHeaders() []string
	// EncodeRefusal sets the headers of a refusal and returns its body.
	EncodeRefusal(h http.Header, refusal *Refusal) []byte
	// EncodeAnswer sets the headers that the system adds to a backend server's answer.
	EncodeAnswer(h http.Header, a AnswerHead)
}

// AnswerHead is what the system knows about a backend server's answer.
type AnswerHead struct {
	RequestID   string
	Server      ServerName
	Incarnation Incarnation
}

// Attempt is what a backend server is told about a request besides method, path, body and the caller's own headers.
type Attempt struct {
	// ID is unique for the attempt.
	ID                  string
	OperationID         string
	Tenant              TenantName
	Target              Target
	TimeoutMilliseconds int64
}

// ServerHead is what the head of a backend server's answer says.
type ServerHead struct {
	// Contradiction says why the answer cannot be that to the request, empty when it can.
	Contradiction string
	// Refusal is set when the server states that it has not run the request and will not.
	Refusal     *Refusal
	Incarnation Incarnation
	// Leaving is set when the server says that it leaves and is to get no new requests.
	Leaving bool
	// PauseMilliseconds is for how long the server wants no requests from this host, zero when it does not say.
	PauseMilliseconds int64
	// LimitPerSecond is how many requests a second the server takes from all hosts together, zero when it names no limit.
	LimitPerSecond float64
	// Load is the load that the server reports, nil when it reports none.
	Load *ServerUtilization
}

// ServerProtocol translates between the request path and backend servers.
type ServerProtocol interface {
	// Encode adds the headers of an attempt to the caller's end-to-end headers.
	Encode(h http.Header, a Attempt)
	// Decode reads the head of the answer to the attempt, whose headers were sent.
	Decode(a Attempt, sent http.Header, answer *http.Response) ServerHead
	// Leaving reports whether the head of an answer says that its server leaves.
	Leaving(h http.Header) bool
}
