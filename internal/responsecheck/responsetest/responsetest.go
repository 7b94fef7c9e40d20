// Package responsetest has responses for tests of programs that read them: some that must not be taken for responses, and some
// that are unusual but valid.
package responsetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// Invalid are texts for Expand that are no responses, although each has a complete body.
var Invalid = map[string]string{
	"blank in a name":                   withField("No te: a"),
	"blank before a colon":              withField("Note : a"),
	"tab before a colon":                withField("Note\t: a"),
	"control character in a name":       withField("No\x01te: a"),
	"delete character in a name":        withField("No\x7fte: a"),
	"separator in a name":               withField("No(te: a"),
	"letter beyond ASCII in a name":     withField("No\xe4te: a"),
	"empty name":                        withField(": a"),
	"no colon":                          withField("Note"),
	"NUL in a value":                    withField("Note: a\x00b"),
	"control character in a value":      withField("Note: a\x01b"),
	"carriage return in a value":        withField("Note: a\rb"),
	"control character after a fold":    withField("Note: a\r\n \x01b"),
	"fold before the first field":       "HTTP/1.1 200 OK\r\n Note: a\r\n{fields}Content-Length: {length}\r\n\r\n{body}",
	"control character in the reason":   strings.Replace(withField("Note: a"), "OK", "O\x01K", 1),
	"NUL in the reason":                 strings.Replace(withField("Note: a"), "OK", "O\x00K", 1),
	"HTTP/2.0":                          strings.Replace(withField("Note: a"), "HTTP/1.1", "HTTP/2.0", 1),
	"HTTP/0.9":                          strings.Replace(withField("Note: a"), "HTTP/1.1", "HTTP/0.9", 1),
	"HTTP/1.10":                         strings.Replace(withField("Note: a"), "HTTP/1.1", "HTTP/1.10", 1),
	"name of the version in lower case": strings.Replace(withField("Note: a"), "HTTP/1.1", "http/1.1", 1),
	"two blanks after the version":      strings.Replace(withField("Note: a"), "HTTP/1.1 ", "HTTP/1.1  ", 1),
	"tab after the status":              strings.Replace(withField("Note: a"), "200 OK", "200\tOK", 1),
	"status 000":                        strings.Replace(withField("Note: a"), "200", "000", 1),
	"status 099":                        strings.Replace(withField("Note: a"), "200", "099", 1),
	"status 600":                        strings.Replace(withField("Note: a"), "200", "600", 1),
	"status of four digits":             strings.Replace(withField("Note: a"), "200", "2000", 1),
	"unasked change of protocols":       strings.Replace(withField("Upgrade: x"), "200", "101", 1),

	"blank before the colon of Content-Length":    "HTTP/1.1 200 OK\r\n{fields}Content-Length : {length}\r\n\r\n{body}",
	"blank before the colon of Transfer-Encoding": "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding : chunked\r\n\r\n{chunks}0\r\n\r\n",
	"two lengths":                    withField("Content-Length: 1"),
	"signed length":                  "HTTP/1.1 200 OK\r\n{fields}Content-Length: +{length}\r\n\r\n{body}",
	"empty length":                   "HTTP/1.1 200 OK\r\n{fields}Content-Length:\r\n\r\n{body}",
	"length and chunks":              withChunks("Content-Length: {length}\r\n", ""),
	"chunks and length":              "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\nContent-Length: {length}\r\n\r\n{chunks}0\r\n\r\n",
	"chunks in HTTP/1.0":             strings.Replace(withChunks("", ""), "HTTP/1.1", "HTTP/1.0", 1),
	"chunked twice":                  withChunks("Transfer-Encoding: chunked\r\n", ""),
	"other transfer encoding":        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: gzip\r\n\r\n{body}",
	"length of status 204":           strings.Replace(withField("Note: a"), "200 OK", "204 No Content", 1),
	"chunks of status 204":           strings.Replace(withChunks("", ""), "200 OK", "204 No Content", 1),
	"name in an interim response":    "HTTP/1.1 103 Early Hints\r\nNo te: a\r\n\r\n" + withField("Note: a"),
	"length in an interim response":  "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n" + withField("Note: a"),
	"chunks in an interim response":  "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + withField("Note: a"),
	"version of an interim response": "HTTP/2.0 103 Early Hints\r\n\r\n" + withField("Note: a"),
	"control character in the reason of an interim response": "HTTP/1.1 103 Early\x01Hints\r\n\r\n" + withField("Note: a"),
	"carriage returns before the response":                   "\r\r" + withField("Note: a"),
}

// InvalidBodies are texts for Expand whose header section is valid, and whose body is not.
var InvalidBodies = map[string]string{
	"blank in the name of a trailer":              withChunks("", "No te: a\r\n"),
	"blank before the colon of a trailer":         withChunks("", "Note : a\r\n"),
	"control character in the name of a trailer":  withChunks("", "No\x01te: a\r\n"),
	"control character in the value of a trailer": withChunks("", "Note: a\x01\r\n"),
	"trailer without a colon":                     withChunks("", "Note\r\n"),
	"fold before the first trailer":               withChunks("", " Note: a\r\n"),
	"Content-Length as a trailer":                 withChunks("", "Content-Length: {length}\r\n"),
	"Transfer-Encoding as a trailer":              withChunks("", "Transfer-Encoding: chunked\r\n"),
	"control character in a chunk extension":      "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunks}0;a\x01\r\n\r\n",
	"signed size of a chunk":                      "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunks}+0\r\n\r\n",
	"line feed alone after the size of a chunk":   "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunks}0\n\r\n",
	"bytes after the data of a chunk":             "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunks}1\r\nxyz\r\n0\r\n\r\n",
}

// Unusual are texts for Expand that are valid responses.
var Unusual = map[string]string{
	"every character of a name":    withField("!#$%&'*+-.^_`|~09AZaz: a"),
	"no blank after a colon":       withField("Note:a"),
	"blanks around a value":        withField("Note: \t a \t"),
	"empty value":                  withField("Note:"),
	"tab and letters beyond ASCII": withField("Note: a\tb\xe4\xff"),
	"colons in a value":            withField("Note: a: b :c"),
	"repeated field":               withField("Note: a\r\nnote: b"),
	"long value":                   withField("Note: " + strings.Repeat("a", 8<<10)),
	"many fields":                  withField(strings.Repeat("Note: a\r\n", 200) + "Note: a"),
	"length in lower case":         "HTTP/1.1 200 OK\r\n{fields}content-length:{length} \r\n\r\n{body}",
	"length with zeros":            "HTTP/1.1 200 OK\r\n{fields}Content-Length: 000{length}\r\n\r\n{body}",
	"no reason":                    strings.Replace(withField("Note: a"), "200 OK", "200 ", 1),
	"reason of several words":      strings.Replace(withField("Note: a"), "OK", "All\tis w\xe4ll: yes", 1),
	"HTTP/1.0":                     strings.Replace(withField("Note: a"), "HTTP/1.1", "HTTP/1.0", 1),
	"HTTP/1.2":                     strings.Replace(withField("Note: a"), "HTTP/1.1", "HTTP/1.2", 1),
	"HTTP/1.2 and chunks":          strings.Replace(withChunks("", ""), "HTTP/1.1", "HTTP/1.2", 1),
	"chunked in other case":        "HTTP/1.1 200 OK\r\n{fields}transfer-encoding:CHUNKED\t\r\n\r\n{chunks}0\r\n\r\n",
	"chunk extensions":             "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunks}000;a=\"b;c\";d\r\n\r\n",
	"announced trailer":            withChunks("Trailer: Note\r\n", "Note: a\r\n"),
	"trailers":                     withChunks("", "Note: a\r\nx-sum:\r\n"),
	"interim responses":            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \r\nLink: a\r\nLink: b\r\n\r\n" + withField("Note: a"),
}

// Tolerated are texts for Expand that the grammar of RFC 9112 does not allow, but that some servers send and the checker accepts.
var Tolerated = map[string]string{
	"folded value":                      withField("Note: a\r\n b\r\n\tc"),
	"no reason and no blank":            strings.Replace(withField("Note: a"), "200 OK", "200", 1),
	"padding after the size of a chunk": "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunks}0  \r\n\r\n",
	"empty line before the response":    "\r\n" + withField("Note: a"),
	"line feeds alone":                  "HTTP/1.1 200 OK\nNote: a\n{fields}Content-Length: {length}\r\n\r\n{body}",
	"folded trailer":                    withChunks("", "Note: a\r\n b\r\n"),
}

func withField(line string) string {
	return "HTTP/1.1 200 OK\r\n{fields}" + line + "\r\nContent-Length: {length}\r\n\r\n{body}"
}

func withChunks(field, trailers string) string {
	return "HTTP/1.1 200 OK\r\n{fields}" + field + "Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n" + trailers + "\r\n"
}

// Expand fills a text in. fields are further field lines, each with its line end. body must not be empty.
func Expand(text, fields, body string) string {
	return strings.NewReplacer("{fields}", fields, "{length}", strconv.Itoa(len(body)), "{body}", body,
		"{chunks}", fmt.Sprintf("%x\r\n%s\r\n", len(body), body)).Replace(text)
}

// Serve answers the request on each connection that l accepts with a text, and then closes the connection. It returns when l is
// closed.
func Serve(l net.Listener, respond func(*http.Request) string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serve(conn, respond)
	}
}

func serve(conn net.Conn, respond func(*http.Request) string) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	if err == nil {
		_, _ = io.WriteString(conn, respond(req)) // the client may have closed the connection
	}
}
