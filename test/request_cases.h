/*
 * Requests: which are requests of HTTP/1, and which are not.  The reader of
 * requests and the fronts are tested with them.
 */
#ifndef TEST_REQUEST_CASES_H
#define TEST_REQUEST_CASES_H

#include <string>
#include <vector>

/* @body: what a reader takes for the body */
struct proper_request {
	const char *name;
	std::string bytes;
	const char *method, *target;
	const char *body;
};

/* @status: of the answer */
struct improper_request {
	const char *name;
	std::string bytes;
	int status;
};

/* A request of which everything but the request line is proper. */
static inline std::string line_and_rest(const std::string &line)
{
	return line + "\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n\r\n";
}

/* The same for lines of the head, and the bytes after it. */
static inline std::string posted(const std::string &fields,
				 const std::string &rest = "")
{
	return "POST /look/ HTTP/1.1\r\nHost: a.example\r\n"
	       "X-Attempt-Id: 1\r\n" +
	       fields + "\r\n" + rest;
}

static inline std::string in_chunks(const std::string &rest)
{
	return posted("Transfer-Encoding: chunked\r\n", rest);
}

static const std::vector<proper_request> proper_requests = {
	/* Request line */
	{"plain", line_and_rest("GET /look/?a=b HTTP/1.1"), "GET", "/look/?a=b",
	 ""},
	{"any method", line_and_rest("BREW-1 /look/ HTTP/1.1"), "BREW-1",
	 "/look/", ""},
	{"absolute form", line_and_rest("GET http://a.example/look/ HTTP/1.1"),
	 "GET", "http://a.example/look/", ""},
	{"asterisk", line_and_rest("OPTIONS * HTTP/1.1"), "OPTIONS", "*", ""},
	{"authority", line_and_rest("CONNECT a.example:80 HTTP/1.1"), "CONNECT",
	 "a.example:80", ""},
	{"HTTP/1.0", line_and_rest("GET /look/ HTTP/1.0"), "GET", "/look/", ""},
	{"later minor version", line_and_rest("GET /look/ HTTP/1.2"), "GET",
	 "/look/", ""},
	{"empty lines before it",
	 "\r\n\r\n" + line_and_rest("GET /look/ HTTP/1.1"), "GET", "/look/",
	 ""},
	/* Fields */
	{"all bytes of a name", posted("!#$%&'*+-.^_`|~09azAZ: v\r\n"), "POST",
	 "/look/", ""},
	{"blanks around a value", posted("X-A: \t v \t \r\n"), "POST", "/look/",
	 ""},
	{"empty value", posted("X-A:\r\n"), "POST", "/look/", ""},
	{"value of any language", posted("X-A: d\xe9j\xe0\r\n"), "POST",
	 "/look/", ""},
	/* Framing */
	{"length", posted("Content-Length: 4\r\n", "body"), "POST", "/look/",
	 "body"},
	{"zeros before the length", posted("content-length: 0004\r\n", "body"),
	 "POST", "/look/", "body"},
	{"length 0", posted("Content-Length: 0\r\n"), "POST", "/look/", ""},
	{"body of a GET",
	 "GET /look/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
	 "Content-Length: 4\r\n\r\nbody",
	 "GET", "/look/", "body"},
	{"chunks", in_chunks("2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"), "POST",
	 "/look/", "body"},
	{"no chunk", in_chunks("0\r\n\r\n"), "POST", "/look/", ""},
	{"coding in another case",
	 posted("Transfer-Encoding: CHUNKED\r\n", "4\r\nbody\r\n0\r\n\r\n"),
	 "POST", "/look/", "body"},
	{"size in hexadecimal, with zeros",
	 in_chunks("00A\r\n0123456789\r\n0\r\n\r\n"), "POST", "/look/",
	 "0123456789"},
	{"extensions", in_chunks("4;a=b;c=\"d e\"\r\nbody\r\n0;last\r\n\r\n"),
	 "POST", "/look/", "body"},
	{"trailer that would change the head",
	 in_chunks("4\r\nbody\r\n0\r\nX-Sum: 1\r\nContent-Length: 9\r\n"
		   "X-Attempt-Id: 2\r\n\r\n"),
	 "POST", "/look/", "body"},
};

static const std::vector<improper_request> improper_requests = {
	/* Request line */
	{"no request", "HELLO\r\n\r\n", 400},
	{"no version", line_and_rest("GET /look/"), 400},
	{"HTTP/0.9", line_and_rest("GET /look/ HTTP/0.9"), 400},
	{"HTTP/2.0", line_and_rest("GET /look/ HTTP/2.0"), 400},
	{"no minor version", line_and_rest("GET /look/ HTTP/1"), 400},
	{"minor version of two digits", line_and_rest("GET /look/ HTTP/1.10"),
	 400},
	{"version in another case", line_and_rest("GET /look/ http/1.1"), 400},
	{"other protocol", line_and_rest("GET /look/ ICE/1.1"), 400},
	{"blank after the version", line_and_rest("GET /look/ HTTP/1.1 "), 400},
	{"two blanks before the target", line_and_rest("GET  /look/ HTTP/1.1"),
	 400},
	{"two blanks after the target", line_and_rest("GET /look/  HTTP/1.1"),
	 400},
	{"tab", line_and_rest("GET\t/look/ HTTP/1.1"), 400},
	{"tab after the target", line_and_rest("GET /look/\tHTTP/1.1"), 400},
	{"blank in the target", line_and_rest("GET /look/ a HTTP/1.1"), 400},
	{"tab in the target", line_and_rest("GET /look/\ta HTTP/1.1"), 400},
	{"control byte in the target", line_and_rest("GET /look/\x01 HTTP/1.1"),
	 400},
	{"CR in the target", line_and_rest("GET /look/\ra HTTP/1.1"), 400},
	{"no target", line_and_rest("GET HTTP/1.1"), 400},
	{"target without a slash", line_and_rest("GET look/ HTTP/1.1"), 400},
	{"path of CONNECT", line_and_rest("CONNECT /look/ HTTP/1.1"), 400},
	{"no method", line_and_rest(" /look/ HTTP/1.1"), 400},
	{"method that is no token", line_and_rest("G(T /look/ HTTP/1.1"), 400},
	{"blank before the line", line_and_rest(" GET /look/ HTTP/1.1"), 400},
	{"LF alone",
	 "GET /look/ HTTP/1.1\nHost: a.example\nX-Attempt-Id: 1\n\n", 400},
	{"LF alone after a field", posted("X-A: v\nX-B: v\r\n"), 400},
	{"LF alone after the head",
	 "GET /look/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n\n",
	 400},
	{"other bytes", "\x16\x03\x01\x02", 400},
	/* Fields */
	{"blank in a name", posted("X A: v\r\n"), 400},
	{"blank after a name", posted("X-A : v\r\n"), 400},
	{"tab after a name", posted("X-A\t: v\r\n"), 400},
	{"blank after the name of the length",
	 posted("Content-Length : 4\r\n", "body"), 400},
	{"blank after the name of the coding",
	 posted("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"), 400},
	{"no name", posted(": v\r\n"), 400},
	{"no colon", posted("X-A\r\n"), 400},
	{"blank before a name", posted(" X-A: v\r\n"), 400},
	{"folded value", posted("X-A: a\r\n b\r\n"), 400},
	{"folded coding",
	 posted("Transfer-Encoding:\r\n chunked\r\n", "0\r\n\r\n"), 400},
	{"blank before the first field",
	 "GET /look/ HTTP/1.1\r\n X-A: b\r\nHost: a.example\r\n\r\n", 400},
	{"control byte in a name",
	 posted("X\x01"
		"A: v\r\n"),
	 400},
	{"control byte in a value",
	 posted("X-A: a\x01"
		"b\r\n"),
	 400},
	{"NUL in a value", posted(std::string("X-A: a\0b\r\n", 10)), 400},
	{"CR in a value", posted("X-A: a\rX-B: b\r\n"), 400},
	{"CR before CR LF", posted("X-A: a\r\r\n"), 400},
	{"DEL in a value",
	 posted("X-A: a\x7f"
		"b\r\n"),
	 400},
	{"name of another language", posted("X-\xe9: v\r\n"), 400},
	/* Framing */
	{"two lengths",
	 posted("Content-Length: 4\r\nContent-Length: 5\r\n", "body1"), 400},
	{"a length twice",
	 posted("Content-Length: 4\r\nContent-Length: 4\r\n", "body"), 400},
	{"list of lengths", posted("Content-Length: 4, 4\r\n", "body"), 400},
	{"sign", posted("Content-Length: +4\r\n", "body"), 400},
	{"negative length", posted("Content-Length: -4\r\n", "body"), 400},
	{"hexadecimal length", posted("Content-Length: 0x4\r\n", "body"), 400},
	{"empty length", posted("Content-Length:\r\n", "body"), 400},
	{"length with a letter", posted("Content-Length: 4a\r\n", "body"), 400},
	{"blank in a length", posted("Content-Length: 4 0\r\n", "body"), 400},
	{"length of 20 digits",
	 posted("Content-Length: 99999999999999999999\r\n", "body"), 400},
	{"length and chunks",
	 posted("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"0\r\n\r\n"),
	 400},
	{"chunks and length",
	 posted("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
		"0\r\n\r\n"),
	 400},
	{"coding that is not known",
	 posted("Transfer-Encoding: gzip\r\n", "body"), 400},
	{"identity", posted("Transfer-Encoding: identity\r\n", "body"), 400},
	{"chunks of gzip",
	 posted("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 400},
	{"chunks not last",
	 posted("Transfer-Encoding: chunked, gzip\r\n", "0\r\n\r\n"), 400},
	{"chunks twice",
	 posted("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"0\r\n\r\n"),
	 400},
	{"chunked in quotes",
	 posted("Transfer-Encoding: \"chunked\"\r\n", "0\r\n\r\n"), 400},
	{"chunked with a parameter",
	 posted("Transfer-Encoding: chunked;a=b\r\n", "0\r\n\r\n"), 400},
	{"word that ends in chunked",
	 posted("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"), 400},
	{"empty coding", posted("Transfer-Encoding:\r\n", "0\r\n\r\n"), 400},
	{"chunks in HTTP/1.0",
	 "POST /look/ HTTP/1.0\r\nHost: a.example\r\n"
	 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	 400},
	/* Chunks */
	{"no size", in_chunks("\r\n"), 400},
	{"letter as size", in_chunks("g\r\n"), 400},
	{"sign before the size", in_chunks("+4\r\nbody\r\n0\r\n\r\n"), 400},
	{"negative size", in_chunks("-4\r\nbody\r\n0\r\n\r\n"), 400},
	{"0x before the size", in_chunks("0x4\r\nbody\r\n0\r\n\r\n"), 400},
	{"blank before the size", in_chunks(" 4\r\nbody\r\n0\r\n\r\n"), 400},
	{"blank after the size", in_chunks("4 \r\nbody\r\n0\r\n\r\n"), 400},
	{"size of 17 digits", in_chunks("10000000000000004\r\nbody\r\n"), 400},
	{"LF after the size", in_chunks("4\nbody\r\n0\r\n\r\n"), 400},
	{"CR in an extension", in_chunks("4;a\rb\r\nbody\r\n0\r\n\r\n"), 400},
	{"control byte in an extension",
	 in_chunks("4;a\x01\r\nbody\r\n0\r\n\r\n"), 400},
	{"other bytes after a chunk", in_chunks("4\r\nbodyXX0\r\n\r\n"), 400},
	{"NUL after a chunk", in_chunks(std::string("4\r\nbody\r\0a", 10)),
	 400},
	{"LF after a chunk", in_chunks("4\r\nbody\n0\r\n\r\n"), 400},
	{"longer chunk than its size", in_chunks("3\r\nbody\r\n0\r\n\r\n"),
	 400},
	{"trailer that is no field", in_chunks("0\r\nX-A\r\n\r\n"), 400},
	{"blank in a trailer's name", in_chunks("0\r\nX A: v\r\n\r\n"), 400},
	{"folded trailer", in_chunks("0\r\nX-A: v\r\n w\r\n\r\n"), 400},
	{"LF alone after a trailer", in_chunks("0\r\nX-A: v\n\r\n"), 400},
	{"LF alone after the last chunk", in_chunks("0\r\n\n"), 400},
	/* Bounds */
	{"large head", posted("X-A: " + std::string(5000, 'a') + "\r\n"), 431},
	{"large trailer",
	 in_chunks("0\r\nX-A: " + std::string(5000, 'a') + "\r\n\r\n"), 431},
	{"large extension", in_chunks("4;" + std::string(5000, 'a') + "\r\n"),
	 431},
};

#endif
