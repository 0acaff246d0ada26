#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * Blocking HTTP/1.1 for stand-ins, and what else they share.  Each connection
 * has a thread of its own.
 */

#define HTTP_HEAD_BYTES 16384
#define HTTP_BODY_BYTES (4 << 20)

/** struct http_msg - a request or an answer that was read; the caller frees
 * @body */
struct http_msg {
	char head[HTTP_HEAD_BYTES];
	char first[1024]; /* the first line */
	char *body;
	size_t body_len;
};

/** http_read() - read a message with its body; Return: whether it is whole */
bool http_read (int fd, struct http_msg *m);

/** http_header() - copy a header's value, "" where it is missing */
void http_header (const struct http_msg *m, const char *name, char *out,
		  size_t size);

/** http_send() - write all of @len bytes; Return: whether they were taken */
bool http_send (int fd, const void *data, size_t len);

/** http_answer() - write an answer; @headers: whole lines, or "" */
bool http_answer (int fd, int status, const char *headers, const void *body,
		  size_t len);

/** addr_parse() - parse IP:PORT, end the program where that fails */
struct sockaddr_in addr_parse (const char *text);

/** addr_listen() - listen at IP:PORT, end the program where that fails */
int addr_listen (const char *text);

/** addr_connect() - connect within @ms from the address @from, or from any;
 * Return: the socket, -1 on errors */
int addr_connect (const struct sockaddr_in *to, const char *from, int ms);

/** fd_reset() - close with a reset */
void fd_reset (int fd);

/** serve() - call @handle in a thread of its own for each connection */
void serve (int listener, void (*handle) (int fd));

/** now_ms() - ms since the epoch */
long long now_ms (void);

/** note() - append a line with the time to the file that note_open() opened */
void note (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));
void note_open (const char *path);

#endif
