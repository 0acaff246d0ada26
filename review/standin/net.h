#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * What the stand-ins of the review share: blocking sockets, one HTTP/1.1
 * message at a time, and a log file whose lines several threads write.
 */

#define NET_HEAD_BYTES 16384
#define NET_BODY_BYTES 65536

/** struct net_msg - a request or an answer; its head is null-terminated */
struct net_msg {
	char head[NET_HEAD_BYTES];
	char body[NET_BODY_BYTES];
	size_t body_len;
	bool chunked;
	bool has_length;
	size_t length;
};

/** struct net_conn - a connection and what was read ahead on it */
struct net_conn {
	int fd;
	char buf[NET_BODY_BYTES];
	size_t len;
};

/** net_log_open() - append log lines to @path; each begins with the ms since
 * 1970 */
void net_log_open (const char *path);
void net_log (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

uint64_t net_now_ms (void);
void net_sleep_ms (uint64_t ms);

/** net_listen() - listen at IP:PORT; ends the process on errors */
int net_listen (const char *addr);

/** net_connect() - connect from @from (an IP, or NULL) to IP:PORT; returns -1
 * on errors */
int net_connect (const char *addr, const char *from);

bool net_write (int fd, const void *data, size_t len);

/** net_read_head() - read up to the empty line; false at the end */
bool net_read_head (struct net_conn *c, struct net_msg *m);

/** net_read_some() - read more bytes into the buffer; false at the end */
bool net_read_some (struct net_conn *c);

/** net_take() - move up to @max buffered bytes to @out */
size_t net_take (struct net_conn *c, char *out, size_t max);

/** net_read_body() - read the body that the head announces */
bool net_read_body (struct net_conn *c, struct net_msg *m);

/** net_read_line() - read a line without its end; false at the end */
bool net_read_line (struct net_conn *c, char *out, size_t size);

/** net_header() - copy a header's value; "" where it is missing */
void net_header (const struct net_msg *m, const char *name, char *out,
		 size_t size);

/** net_number() - the number after "NAME=" in @text, or @def */
long net_number (const char *text, const char *name, long def);

#endif
