/*
 * Heads and body framing of HTTP/1.1.
 */
#include <string.h>
#include <strings.h>

#include "h1.h"

#define CHUNK_LINE_MAX_BYTES 256
#define TRAILER_MAX_BYTES (16U << 10)

/*
 * h2o's shared library exports its parser, but Debian's package installs no
 * header for it.
 */
int phr_parse_request (const char *buf, size_t len, const char **method,
		       size_t *method_len, const char **path, size_t *path_len,
		       int *minor_version, struct h1_header *headers,
		       size_t *num_headers, size_t last_len);
int phr_parse_response (const char *buf, size_t len, int *minor_version,
			int *status, const char **msg, size_t *msg_len,
			struct h1_header *headers, size_t *num_headers,
			size_t last_len);

bool
h1_is (const struct h1_header *x, const char *name)
{
	return x->name_len == strlen (name) &&
	       strncasecmp (x->name, name, x->name_len) == 0;
}

const struct h1_header *
h1_find (const struct h1_head *h, const char *name)
{
	for (size_t i = 0; i < h->count; i++) {
		if (h1_is (&h->headers[i], name))
			return &h->headers[i];
	}
	return NULL;
}

char *
h1_copy (const struct h1_header *x)
{
	return x != NULL ? g_strndup (x->value, x->value_len) : NULL;
}

/* Whether a comma-separated list holds @word. */
static bool
list_has (const char *list, size_t len, const char *word, size_t word_len)
{
	const char *end = list + len;

	while (list < end) {
		const char *comma = memchr (list, ',', (size_t)(end - list));
		const char *stop = comma != NULL ? comma : end;
		const char *last = stop;

		while (list < last && (*list == ' ' || *list == '\t'))
			list++;
		while (last > list && (last[-1] == ' ' || last[-1] == '\t'))
			last--;
		if ((size_t)(last - list) == word_len &&
		    strncasecmp (list, word, word_len) == 0)
			return true;
		list = stop + 1;
	}
	return false;
}

static bool
value_is (const struct h1_header *x, const char *word)
{
	return x->value_len == strlen (word) &&
	       strncasecmp (x->value, word, x->value_len) == 0;
}

bool
h1_hop_header (const struct h1_head *h, const struct h1_header *x)
{
	static const char *const hop[] = {
		"connection", "keep-alive", "proxy-connection",
		"te",         "trailer",    "transfer-encoding",
		"upgrade",    "expect",     NULL};

	for (int i = 0; hop[i] != NULL; i++) {
		if (h1_is (x, hop[i]))
			return true;
	}
	for (size_t i = 0; i < h->count; i++) {
		const struct h1_header *c = &h->headers[i];

		if (h1_is (c, "connection") &&
		    list_has (c->value, c->value_len, x->name, x->name_len))
			return true;
	}
	return false;
}

bool
h1_has_status_line (const struct h1_header *x)
{
	static const char name[] = "HTTP/1.";
	const char *at = memmem (x->value, x->value_len, name, sizeof name - 1);
	size_t left;

	if (at == NULL)
		return false;
	at += sizeof name - 1;
	left = x->value_len - (size_t)(at - x->value);
	return left >= 5 && g_ascii_isdigit (at[0]) && at[1] == ' ' &&
	       g_ascii_isdigit (at[2]) && g_ascii_isdigit (at[3]) &&
	       g_ascii_isdigit (at[4]);
}

static bool
length_parse (const struct h1_header *x, uint64_t *out)
{
	uint64_t n = 0;

	if (x->value_len == 0 || x->value_len > 15)
		return false;
	for (size_t i = 0; i < x->value_len; i++) {
		if (x->value[i] < '0' || x->value[i] > '9')
			return false;
		n = n * 10 + (uint64_t)(x->value[i] - '0');
	}
	*out = n;
	return true;
}

static uint32_t
keep_alive_s (const struct h1_header *x)
{
	const char *at = x->value, *end = x->value + x->value_len;
	uint32_t s = 0;

	at = memmem (at, x->value_len, "timeout=", 8);
	for (at = at != NULL ? at + 8 : end;
	     at < end && *at >= '0' && *at <= '9' && s < 100000; at++)
		s = s * 10 + (uint32_t)(*at - '0');
	return s;
}

/*
 * Reads the headers that decide framing.  A message that two readers could
 * frame differently is refused: repeated lengths, a length beside a transfer
 * coding, a coding other than plain chunked, a name with a space before the
 * colon or a folded line.
 */
static bool
framing_read (struct h1_head *h, bool *has_length, bool *chunked)
{
	*has_length = *chunked = false;
	h->close = h->minor == 0;
	for (size_t i = 0; i < h->count; i++) {
		const struct h1_header *x = &h->headers[i];

		if (x->name == NULL || x->name_len == 0 ||
		    x->name[x->name_len - 1] == ' ' ||
		    memchr (x->value, '\0', x->value_len) != NULL)
			return false;
		if (h1_is (x, "content-length")) {
			if (*has_length || !length_parse (x, &h->length))
				return false;
			*has_length = true;
		} else if (h1_is (x, "transfer-encoding")) {
			if (*chunked || !value_is (x, "chunked"))
				return false;
			*chunked = true;
		} else if (h1_is (x, "connection")) {
			if (list_has (x->value, x->value_len, "close", 5))
				h->close = true;
			if (h->minor == 0 &&
			    list_has (x->value, x->value_len, "keep-alive", 10))
				h->close = false;
		} else if (h1_is (x, "keep-alive")) {
			h->keep_s = keep_alive_s (x);
		} else if (h1_is (x, "expect")) {
			h->expect_continue = value_is (x, "100-continue");
		}
	}
	return !(*has_length && *chunked) && !(*chunked && h->minor == 0);
}

enum h1_verdict
h1_request (const char *buf, size_t len, struct h1_head *h, size_t *used)
{
	bool has_length, chunked;
	int n;

	h->count = H1_HEADERS_MAX;
	h->length = 0;
	h->status = 0;
	h->keep_s = 0;
	h->expect_continue = false;
	n = phr_parse_request (buf, len, &h->method, &h->method_len, &h->path,
			       &h->path_len, &h->minor, h->headers, &h->count,
			       0);
	if (n == -2)
		return H1_MORE;
	if (n < 0 || !framing_read (h, &has_length, &chunked) ||
	    h->path_len == 0)
		return H1_BAD;
	h->framing = chunked                       ? H1_CHUNKED
		     : has_length && h->length > 0 ? H1_LENGTH
						   : H1_NO_BODY;
	*used = (size_t)n;
	return H1_OK;
}

bool
h1_method_is (const struct h1_head *h, const char *name)
{
	return h->method_len == strlen (name) &&
	       memcmp (h->method, name, h->method_len) == 0;
}

bool
h1_has_body (int status, bool to_head)
{
	return !to_head && status >= 200 && status != 204 && status != 304;
}

enum h1_verdict
h1_response (const char *buf, size_t len, bool to_head, struct h1_head *h,
	     size_t *used)
{
	bool has_length, chunked;
	const char *text;
	size_t text_len;
	int n;

	h->count = H1_HEADERS_MAX;
	h->length = 0;
	h->keep_s = 0;
	h->expect_continue = false;
	h->method = h->path = NULL;
	n = phr_parse_response (buf, len, &h->minor, &h->status, &text,
				&text_len, h->headers, &h->count, 0);
	if (n == -2)
		return H1_MORE;
	if (n < 0 || !framing_read (h, &has_length, &chunked) ||
	    h->status < 100 || h->status > 599)
		return H1_BAD;
	if (!h1_has_body (h->status, to_head))
		h->framing = H1_NO_BODY;
	else if (chunked)
		h->framing = H1_CHUNKED;
	else if (has_length)
		h->framing = h->length > 0 ? H1_LENGTH : H1_NO_BODY;
	else
		h->framing = H1_UNTIL_CLOSE;
	*used = (size_t)n;
	return H1_OK;
}

enum chunk_state {
	CHUNK_SIZE_FIRST, /* the first digit of a size */
	CHUNK_SIZE,
	CHUNK_EXTENSION, /* the rest of the size's line */
	CHUNK_SIZE_LF,
	CHUNK_DATA,
	CHUNK_DATA_CR,
	CHUNK_DATA_LF,
	CHUNK_TRAILER_FIRST, /* at the start of a trailer line */
	CHUNK_TRAILER,
	CHUNK_TRAILER_LF,
	CHUNK_END_LF,
	CHUNK_DONE,
};

void
h1_body_init (struct h1_body *b, const struct h1_head *h)
{
	*b = (struct h1_body){.framing = h->framing, .left = h->length};
	if (h->framing == H1_CHUNKED)
		b->left = 0;
}

static int
hex_value (char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/* One byte outside a chunk's data. */
static bool
chunk_byte (struct h1_body *b, char c)
{
	int digit;

	if (++b->line > CHUNK_LINE_MAX_BYTES)
		return false;
	if (b->state >= CHUNK_TRAILER_FIRST && ++b->trailer > TRAILER_MAX_BYTES)
		return false;
	switch ((enum chunk_state)b->state) {
	case CHUNK_SIZE_FIRST:
	case CHUNK_SIZE:
		digit = hex_value (c);
		if (digit >= 0) {
			b->left = b->left * 16 + (uint64_t)digit;
			b->state = CHUNK_SIZE;
			return b->left <= UINT32_MAX;
		}
		if (b->state == CHUNK_SIZE_FIRST)
			return false;
		b->state = c == '\r' ? CHUNK_SIZE_LF : CHUNK_EXTENSION;
		return c == '\r' || c == ';' || c == ' ';
	case CHUNK_EXTENSION:
		if (c == '\r')
			b->state = CHUNK_SIZE_LF;
		return c != '\n';
	case CHUNK_SIZE_LF:
		b->line = 0;
		b->state = b->left > 0 ? CHUNK_DATA : CHUNK_TRAILER_FIRST;
		return c == '\n';
	case CHUNK_DATA:
		return false;
	case CHUNK_DATA_CR:
		b->state = CHUNK_DATA_LF;
		return c == '\r';
	case CHUNK_DATA_LF:
		b->line = 0;
		b->state = CHUNK_SIZE_FIRST;
		return c == '\n';
	case CHUNK_TRAILER_FIRST:
		b->state = c == '\r' ? CHUNK_END_LF : CHUNK_TRAILER;
		return c != '\n';
	case CHUNK_TRAILER:
		if (c == '\r')
			b->state = CHUNK_TRAILER_LF;
		return c != '\n';
	case CHUNK_TRAILER_LF:
		b->line = 0;
		b->state = CHUNK_TRAILER_FIRST;
		return c == '\n';
	case CHUNK_END_LF:
		b->state = CHUNK_DONE;
		return c == '\n';
	case CHUNK_DONE:
		return false;
	}
	return false;
}

static enum h1_step
chunked_step (struct h1_body *b, const char *buf, size_t len, size_t *used,
	      const char **data, size_t *data_len)
{
	while (*used < len && b->state != CHUNK_DATA &&
	       b->state != CHUNK_DONE) {
		if (!chunk_byte (b, buf[*used]))
			return H1_STEP_BAD;
		(*used)++;
	}
	if (b->state == CHUNK_DONE)
		return H1_STEP_END;
	if (b->state != CHUNK_DATA || *used == len)
		return H1_STEP_MORE;
	*data = buf + *used;
	*data_len = MIN (len - *used, b->left);
	*used += *data_len;
	b->left -= *data_len;
	if (b->left == 0)
		b->state = CHUNK_DATA_CR;
	return H1_STEP_DATA;
}

enum h1_step
h1_body_step (struct h1_body *b, const char *buf, size_t len, size_t *used,
	      const char **data, size_t *data_len)
{
	*used = 0;
	switch (b->framing) {
	case H1_NO_BODY:
		return H1_STEP_END;
	case H1_CHUNKED:
		return chunked_step (b, buf, len, used, data, data_len);
	case H1_LENGTH:
		if (b->left == 0)
			return H1_STEP_END;
		len = MIN (len, b->left);
		b->left -= len;
		break;
	case H1_UNTIL_CLOSE:
		break;
	}
	if (len == 0)
		return H1_STEP_MORE;
	*data = buf;
	*data_len = *used = len;
	return H1_STEP_DATA;
}

const char *
h1_status_text (int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 307:
		return "Temporary Redirect";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 421:
		return "Misdirected Request";
	case 429:
		return "Too Many Requests";
	case 500:
		return "Internal Server Error";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Status";
	}
}
