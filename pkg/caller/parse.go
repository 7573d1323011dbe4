package caller

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
)

// servicePrefix precedes the service's name in paths.
const servicePrefix = "/s/"

// maxServiceBytes limits the length of a service's name, which appears in log lines.
const maxServiceBytes = 100

// parse validates the request line and header fields of a request.
func (h *Handler) parse(r *http.Request, now time.Time) (*Call, *Problem) {
	if size := headerSize(r); size > h.settings.MaxHeaderBytes {
		return nil, badRequest(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderSize,
			"header fields take %d bytes, at most %d are allowed", size, h.settings.MaxHeaderBytes)
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, badRequest(http.StatusMethodNotAllowed, ReasonBadMethod, "method %s is not served", r.Method)
	}
	service, target, problem := parseService(r)
	if problem != nil {
		return nil, problem
	}
	timeout, problem := h.parseTimeout(r)
	if problem != nil {
		return nil, problem
	}
	key, problem := h.parseKey(r)
	if problem != nil {
		return nil, problem
	}
	call := &Call{
		Service:  service,
		Method:   r.Method,
		Path:     target.Path,
		URL:      target,
		Host:     r.Host,
		Header:   make(http.Header, len(r.Header)),
		Key:      key,
		Arrived:  now,
		Deadline: now.Add(timeout),
	}
	copyEndToEnd(call.Header, r.Header)
	call.Header.Del("Expect")
	if call.Header["User-Agent"] == nil {
		// Prevents net/http from adding its own User-Agent.
		call.Header["User-Agent"] = []string{""}
	}
	return call, nil
}

func headerSize(r *http.Request) int {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

func parseService(r *http.Request) (oleanderline.ServiceID, *url.URL, *Problem) {
	target := *r.URL
	var name string
	switch values := r.Header[HeaderService]; {
	case len(values) == 1:
		name = values[0]
	case len(values) > 1:
		return "", nil, badRequest(http.StatusBadRequest, ReasonBadService, "%s is given %d times", HeaderService, len(values))
	case strings.HasPrefix(target.Path, servicePrefix):
		name, target.Path = splitServicePath(target.Path)
		if target.RawPath != "" {
			_, target.RawPath = splitServicePath(target.RawPath)
		}
	}
	if !validName(name) {
		return "", nil, badRequest(http.StatusBadRequest, ReasonBadService,
			"want a path /s/SERVICE/... or a header %s: SERVICE, with up to %d letters, digits, '-', '_' or '.'", HeaderService, maxServiceBytes)
	}
	return oleanderline.ServiceID(name), &target, nil
}

func splitServicePath(path string) (name, rest string) {
	name, rest, _ = strings.Cut(path[len(servicePrefix):], "/")
	return name, "/" + rest
}

func validName(name string) bool {
	if name == "" || len(name) > maxServiceBytes {
		return false
	}
	for _, c := range []byte(name) {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func (h *Handler) parseTimeout(r *http.Request) (time.Duration, *Problem) {
	values := r.Header[HeaderTimeout]
	if len(values) == 0 {
		return h.settings.DefaultTimeout, nil
	}
	timeout, err := time.ParseDuration(values[0])
	if len(values) > 1 || err != nil || timeout <= 0 || timeout > h.settings.MaxTimeout {
		return 0, badRequest(http.StatusBadRequest, ReasonBadTimeout,
			"%s=%.50q: want one duration above 0 and up to %s, such as 800ms", HeaderTimeout, values[0], h.settings.MaxTimeout)
	}
	return timeout, nil
}

func (h *Handler) parseKey(r *http.Request) (string, *Problem) {
	key := ""
	for _, name := range keyHeaders {
		values, present := r.Header[name]
		if !present {
			continue
		}
		if len(values) != 1 || values[0] == "" || len(values[0]) > h.settings.MaxKeyBytes || (key != "" && key != values[0]) {
			return "", badRequest(http.StatusBadRequest, ReasonBadKey, "%s: want one value of 1 to %d bytes", name, h.settings.MaxKeyBytes)
		}
		key = values[0]
	}
	return key, nil
}
