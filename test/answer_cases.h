/*
 * Answers of a backend server: which of them are answers of HTTP/1, and which
 * are not.  All readers of answers are tested with them.
 *
 * ID stands in for the field that names the request; each head has it.
 */
#ifndef TEST_ANSWER_CASES_H
#define TEST_ANSWER_CASES_H

#include <string>
#include <vector>

#define ID "X-Attempt-Id: 1\r\n"

/*
 * @ends: the server closes the connection after it
 * @body: what a reader takes for the body
 */
struct proper_answer {
	const char *name;
	std::string bytes;
	bool ends;
	int status;
	const char *body;
};

struct improper_answer {
	const char *name;
	std::string bytes;
	bool ends;
};

/* An answer of which everything but the status line is proper. */
static inline std::string with_status_line(const std::string &line)
{
	return line + "\r\n" ID "Content-Length: 4\r\n\r\nbody";
}

/* The same for a line of the head. */
static inline std::string with_field(const std::string &field)
{
	return "HTTP/1.1 200 OK\r\n" ID + field +
	       "\r\nContent-Length: 4\r\n\r\nbody";
}

/* The same for all fields that frame a body, and the bytes after the head. */
static inline std::string with_framing(const std::string &fields,
				       const std::string &rest)
{
	return "HTTP/1.1 200 OK\r\n" ID + fields + "\r\n" + rest;
}

static inline std::string with_chunks(const std::string &rest)
{
	return with_framing("Transfer-Encoding: chunked\r\n", rest);
}

static const std::vector<proper_answer> proper_answers = {
	/* Status line */
	{"plain", with_status_line("HTTP/1.1 200 OK"), false, 200, "body"},
	{"no reason", with_status_line("HTTP/1.1 200 "), false, 200, "body"},
	{"no reason and no blank", with_status_line("HTTP/1.1 200"), false, 200,
	 "body"},
	{"more blanks", with_status_line("HTTP/1.1  200  O K"), false, 200,
	 "body"},
	{"reason of any language", with_status_line("HTTP/1.1 200 d\xe9j\xe0"),
	 false, 200, "body"},
	{"status without a name", with_status_line("HTTP/1.1 299 X"), false,
	 299, "body"},
	{"last status", with_status_line("HTTP/1.1 599 X"), false, 599, "body"},
	{"HTTP/1.0", with_status_line("HTTP/1.0 200 OK"), false, 200, "body"},
	{"later minor version", with_status_line("HTTP/1.2 200 OK"), false, 200,
	 "body"},
	{"LF alone",
	 "HTTP/1.1 200 OK\n"
	 "X-Attempt-Id: 1\nContent-Length: 4\n\nbody",
	 false, 200, "body"},
	{"interim answers first",
	 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
	 "Link: <a>\r\n\r\n" +
		 with_status_line("HTTP/1.1 200 OK"),
	 false, 200, "body"},
	/* Fields */
	{"all bytes of a name", with_field("!#$%&'*+-.^_`|~09azAZ: v"), false,
	 200, "body"},
	{"no blank before the value", with_field("X-A:v"), false, 200, "body"},
	{"blanks around the value", with_field("X-A: \t v \t "), false, 200,
	 "body"},
	{"empty value", with_field("X-A:"), false, 200, "body"},
	{"colons in a value", with_field("X-A: a:b: c"), false, 200, "body"},
	{"value of any language", with_field("X-A: d\xe9j\xe0"), false, 200,
	 "body"},
	{"tab in a value", with_field("X-A: a\tb"), false, 200, "body"},
	{"folded value", with_field("X-A: a\r\n\t b"), false, 200, "body"},
	{"name in another case", with_framing("cONTENT-lENGTH: 4\r\n", "body"),
	 false, 200, "body"},
	/* Framing */
	{"zeros before the length",
	 with_framing("Content-Length: 0004\r\n", "body"), false, 200, "body"},
	{"no body", with_framing("Content-Length: 0\r\n", ""), false, 200, ""},
	{"bytes after it, which belong to no request",
	 with_framing("Content-Length: 4\r\n", "bodyHTTP/1.1 200 OK\r\n"),
	 false, 200, "body"},
	{"folded length", with_framing("Content-Length:\r\n 4\r\n", "body"),
	 false, 200, "body"},
	{"no length", with_framing("", "body"), true, 200, "body"},
	{"no length in HTTP/1.0", "HTTP/1.0 200 OK\r\n" ID "\r\nbody", true,
	 200, "body"},
	{"no length and no body", with_framing("", ""), true, 200, ""},
	{"204", "HTTP/1.1 204 No Content\r\n" ID "\r\n", false, 204, ""},
	{"204 of length 0",
	 "HTTP/1.1 204 No Content\r\n" ID "Content-Length: 0\r\n\r\n", false,
	 204, ""},
	{"304 with the length of GET",
	 "HTTP/1.1 304 Not Modified\r\n" ID "Content-Length: 4\r\n\r\n", false,
	 304, ""},
	{"304 with the coding of GET",
	 "HTTP/1.1 304 Not Modified\r\n" ID
	 "Transfer-Encoding: chunked\r\n\r\n",
	 false, 304, ""},
	{"304", "HTTP/1.1 304 Not Modified\r\n" ID "\r\n", false, 304, ""},
	/* Chunks */
	{"chunks", with_chunks("2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"), false, 200,
	 "body"},
	{"no chunk", with_chunks("0\r\n\r\n"), false, 200, ""},
	{"coding in another case",
	 with_framing("Transfer-Encoding: , CHUNKED\r\n",
		      "4\r\nbody\r\n0\r\n\r\n"),
	 false, 200, "body"},
	{"zeros before the size", with_chunks("0004\r\nbody\r\n000\r\n\r\n"),
	 false, 200, "body"},
	{"size in hexadecimal",
	 with_chunks("a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\n\r\n"), false,
	 200, "01234567890123456789"},
	{"extensions",
	 with_chunks("4;a=b;c=\"d e\"\r\nbody\r\n0 \t;last\r\n\r\n"), false,
	 200, "body"},
	{"trailer",
	 with_chunks("4\r\nbody\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n"), false,
	 200, "body"},
	{"trailer that would change the head",
	 with_chunks("4\r\nbody\r\n0\r\nX-Attempt-Id: 2\r\n"
		     "Content-Length: 9\r\nConnection: close\r\n\r\n"),
	 false, 200, "body"},
};

static const std::vector<improper_answer> improper_answers = {
	/* Status line */
	{"status 000", with_status_line("HTTP/1.1 000 X"), false},
	{"status 099", with_status_line("HTTP/1.1 099 X"), false},
	{"status 600", with_status_line("HTTP/1.1 600 X"), false},
	{"status 999", with_status_line("HTTP/1.1 999 X"), false},
	{"two digits", with_status_line("HTTP/1.1 20 OK"), false},
	{"four digits", with_status_line("HTTP/1.1 2000 OK"), false},
	{"zero before the status", with_status_line("HTTP/1.1 0200 OK"), false},
	{"letter in the status", with_status_line("HTTP/1.1 2x0 OK"), false},
	{"sign before the status", with_status_line("HTTP/1.1 +200 OK"), false},
	{"no blank after the status", with_status_line("HTTP/1.1 200OK"),
	 false},
	{"no status", with_status_line("HTTP/1.1 OK"), false},
	{"version only", with_status_line("HTTP/1.1"), false},
	{"101, which was not asked", "HTTP/1.1 101 X\r\n" ID "\r\n", false},
	{"101 and an answer",
	 "HTTP/1.1 101 X\r\n\r\n" + with_status_line("HTTP/1.1 200 OK"), false},
	{"interim status 099",
	 "HTTP/1.1 099 X\r\n\r\n" + with_status_line("HTTP/1.1 200 OK"), false},
	{"HTTP/0.9", with_status_line("HTTP/0.9 200 OK"), false},
	{"HTTP/2.0", with_status_line("HTTP/2.0 200 OK"), false},
	{"no minor version", with_status_line("HTTP/1 200 OK"), false},
	{"minor version of two digits", with_status_line("HTTP/1.10 200 OK"),
	 false},
	{"version in another case", with_status_line("http/1.1 200 OK"), false},
	{"other protocol", with_status_line("ICY 200 OK"), false},
	{"tab before the status", with_status_line("HTTP/1.1\t200 OK"), false},
	{"control byte in the reason", with_status_line("HTTP/1.1 200 O\x01K"),
	 false},
	{"CR in the reason", with_status_line("HTTP/1.1 200 OK\rX-A: b"),
	 false},
	{"blank before the status line", with_status_line(" HTTP/1.1 200 OK"),
	 false},
	{"empty line before the status line",
	 with_status_line("\r\nHTTP/1.1 200 OK"), false},
	{"garbage", "\x01\x02 what is this\r\n\r\n", false},
	{"garbage without an end of line", "\x01\x02 what is this", false},
	{"a letter", "G", false},
	/* Fields */
	{"blank in a name", with_field("X A: v"), false},
	{"blank after a name", with_field("X-A : v"), false},
	{"tab after a name", with_field("X-A\t: v"), false},
	{"blank after the name of the length",
	 with_framing("Content-Length : 4\r\n", "body"), true},
	{"blank after the name of the coding",
	 with_framing("Transfer-Encoding : chunked\r\n",
		      "4\r\nbody\r\n0\r\n\r\n"),
	 true},
	{"blank in the name of the length",
	 with_framing("Content Length: 4\r\n", "body"), true},
	{"control byte in a name", with_field("X\x01-A: v"), false},
	{"control byte before a name", with_field("\x02X-A: v"), false},
	{"DEL in a name", with_field("X\x7f: v"), false},
	{"NUL in a name", with_field(std::string("X\0A: v", 6)), false},
	{"CR in a name", with_field("X\rA: v"), false},
	{"byte above 127 in a name", with_field("X-\xe9: v"), false},
	{"delimiter in a name", with_field("X(A): v"), false},
	{"no name", with_field(": v"), false},
	{"no colon", with_field("X-A"), false},
	{"continuation of the status line",
	 "HTTP/1.1 200 OK\r\n X-A: v\r\n" ID "Content-Length: 4\r\n\r\nbody",
	 false},
	{"control byte in a value", with_field("X-A: a\x01z"), false},
	{"DEL in a value", with_field("X-A: a\x7fz"), false},
	{"NUL in a value", with_field(std::string("X-A: a\0b", 8)), false},
	{"CR in a value", with_field("X-A: a\rX-B: b"), false},
	{"CR before the end of the line", with_field("X-A: a\r"), false},
	{"control byte in a folded value", with_field("X-A: a\r\n \x01"),
	 false},
	{"control byte in a line without an end",
	 "HTTP/1.1 200 OK\r\nX-A: \x01", false},
	/* Framing */
	{"no digit in the length", with_framing("Content-Length:\r\n", "body"),
	 true},
	{"sign before the length",
	 with_framing("Content-Length: +4\r\n", "body"), true},
	{"negative length", with_framing("Content-Length: -4\r\n", "body"),
	 true},
	{"letter in the length", with_framing("Content-Length: 4a\r\n", "body"),
	 true},
	{"length in hexadecimal",
	 with_framing("Content-Length: 0x4\r\n", "body"), true},
	{"blank in the length", with_framing("Content-Length: 4 4\r\n", "body"),
	 true},
	{"two lengths in a field",
	 with_framing("Content-Length: 4, 5\r\n", "body"), true},
	{"two lengths",
	 with_framing("Content-Length: 4\r\nContent-Length: 5\r\n", "body"),
	 true},
	{"length above 64 bits",
	 with_framing("Content-Length: 18446744073709551620\r\n", "body"),
	 true},
	{"length and coding",
	 with_framing("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		      "4\r\nbody\r\n0\r\n\r\n"),
	 true},
	{"coding that is not known",
	 with_framing("Transfer-Encoding: gzip\r\n", "body"), true},
	{"coding beside chunks",
	 with_framing("Transfer-Encoding: gzip, chunked\r\n",
		      "4\r\nbody\r\n0\r\n\r\n"),
	 true},
	{"chunks in chunks",
	 with_framing("Transfer-Encoding: chunked\r\n"
		      "Transfer-Encoding: chunked\r\n",
		      "4\r\nbody\r\n0\r\n\r\n"),
	 true},
	{"coding with a parameter",
	 with_framing("Transfer-Encoding: chunked;a=b\r\n",
		      "4\r\nbody\r\n0\r\n\r\n"),
	 true},
	{"no coding", with_framing("Transfer-Encoding:\r\n", "body"), true},
	{"identity", with_framing("Transfer-Encoding: identity\r\n", "body"),
	 true},
	{"chunks in HTTP/1.0",
	 "HTTP/1.0 200 OK\r\n" ID
	 "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	 true},
	{"204 with a body",
	 "HTTP/1.1 204 X\r\n" ID "Content-Length: 4\r\n\r\nbody", false},
	{"204 with chunks",
	 "HTTP/1.1 204 X\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
	 "4\r\nbody\r\n0\r\n\r\n",
	 false},
	{"interim answer with a body",
	 "HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\nbody" +
		 with_status_line("HTTP/1.1 200 OK"),
	 false},
	/* Chunks */
	{"no size", with_chunks("\r\nbody\r\n0\r\n\r\n"), true},
	{"size that is no number", with_chunks("x\r\nbody\r\n0\r\n\r\n"), true},
	{"sign before the size", with_chunks("+4\r\nbody\r\n0\r\n\r\n"), true},
	{"prefix before the size", with_chunks("0x4\r\nbody\r\n0\r\n\r\n"),
	 true},
	{"blank before the size", with_chunks(" 4\r\nbody\r\n0\r\n\r\n"), true},
	{"blank after the size", with_chunks("4 \r\nbody\r\n0\r\n\r\n"), true},
	{"word after the size", with_chunks("4 x\r\nbody\r\n0\r\n\r\n"), true},
	{"size above 64 bits",
	 with_chunks("10000000000000004\r\nbody\r\n0\r\n\r\n"), true},
	{"LF alone after the size", with_chunks("4\nbody\r\n0\r\n\r\n"), true},
	{"LF in an extension", with_chunks("4;a\nbody\r\n0\r\n\r\n"), true},
	{"control byte in an extension",
	 with_chunks("4;a\x01\r\nbody\r\n0\r\n\r\n"), true},
	{"CR without LF after the size", with_chunks("4\rXbody\r\n0\r\n\r\n"),
	 true},
	{"bytes after the chunk", with_chunks("4\r\nbodyXX0\r\n\r\n"), true},
	{"no size, and no end of line", with_chunks("xyz"), false},
	{"bytes after the chunk, and no end of line",
	 with_chunks("4\r\nbodyXX"), false},
	{"more bytes than the size", with_chunks("3\r\nbody\r\n0\r\n\r\n"),
	 true},
	{"fewer bytes than the size", with_chunks("5\r\nbody\r\n0\r\n\r\n"),
	 true},
	{"LF alone after the chunk", with_chunks("4\r\nbody\n0\r\n\r\n"), true},
	{"blank in the name of a trailer",
	 with_chunks("4\r\nbody\r\n0\r\nX A: v\r\n\r\n"), false},
	{"control byte in a trailer",
	 with_chunks("4\r\nbody\r\n0\r\nX-A: \x01\r\n\r\n"), false},
	{"no colon in a trailer",
	 with_chunks("4\r\nbody\r\n0\r\ntrailer\r\n\r\n"), false},
	/* End */
	{"ends in the status line", "HTTP/1.1 200 O", true},
	{"ends after the status line", "HTTP/1.1 200 OK\r\n", true},
	{"ends in a field", "HTTP/1.1 200 OK\r\n" ID "Content-Len", true},
	{"ends after a field", "HTTP/1.1 200 OK\r\n" ID "Content-Length: 4\r\n",
	 true},
	{"ends in the empty line",
	 "HTTP/1.1 200 OK\r\n" ID "Content-Length: 4\r\n\r", true},
	{"ends after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n", true},
	{"ends before the body", with_framing("Content-Length: 4\r\n", ""),
	 true},
	{"ends in the body", with_framing("Content-Length: 4\r\n", "bod"),
	 true},
	{"ends before the first chunk", with_chunks(""), true},
	{"ends in the size", with_chunks("4"), true},
	{"ends in a chunk", with_chunks("4\r\nbod"), true},
	{"ends after a chunk", with_chunks("4\r\nbody"), true},
	{"ends before the last chunk", with_chunks("4\r\nbody\r\n"), true},
	{"ends in the last chunk", with_chunks("4\r\nbody\r\n0"), true},
	{"ends before the empty line after the last chunk",
	 with_chunks("4\r\nbody\r\n0\r\n"), true},
	{"ends in the trailer", with_chunks("4\r\nbody\r\n0\r\nX-Sum: 1\r\n"),
	 true},
};

#undef ID

#endif
