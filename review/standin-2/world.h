#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Stand-ins around relays and their group: the platform, endpoints, clients
 * and an operator, as threads of one process.
 */

#define TEXT_MAX 256
#define HEAD_MAX 16384
#define BODY_MAX 65536
#define SERVERS_MAX 16
#define RELAYS_MAX 8
#define MEMBERS_MAX 8
#define STARTS_MAX 64
#define CONNS_MAX 512
#define COLD_MAX 8

/**
 * struct server_start - one incarnation of a server
 * @from_ms: when it started
 * @ended_ms: when it ended, 0: it runs
 * @cold: times in which it is cold; the platform's list shows one late
 */
struct server_start {
	char id[32];
	int64_t from_ms;
	int64_t ended_ms;
	int64_t born_ms;
	struct {
		int64_t from_ms, until_ms;
	} cold[COLD_MAX];
	int cold_count;
};

/**
 * struct server - an endpoint at one address
 * @conns: open connections, which end with an incarnation
 */
struct server {
	char ip[32];
	char zone[16];
	const char *service;
	int port;
	int listener;
	pthread_mutex_t lock;
	struct server_start starts[STARTS_MAX];
	int start_count;
	int conns[CONNS_MAX];
	int conn_count;
};

/**
 * struct message - a request or an answer
 * @whole: it arrived to its end
 * @events: whole events of a stream
 */
struct message {
	char head[HEAD_MAX];
	char body[BODY_MAX];
	int body_len;
	int status;
	int events;
	bool whole;
};

/* net.c */
int64_t now_ms (void);
int64_t wall_ms (void);
void pause_ms (int64_t ms);
int net_listen (const char *ip, int port);
int net_connect (const char *ip, int port, int timeout_ms);
bool net_write (int fd, const char *text, int len);
void thread_start (void *(*run) (void *), void *arg);
bool head_value (const char *head, const char *name, char *out, int size);
bool read_request (int fd, struct message *m);
bool read_answer (int fd, struct message *m, int64_t until_ms);

/* record.c */
void record_open (const char *path);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void record_close (void);

/* server.c */

/** struct server_ops - what a scenario decides about the servers' runs */
struct server_ops {
	/* A request arrived and is about to run. */
	void (*arrived) (struct server *s, const struct message *m);
	/* After the first event; true: the server ends now. */
	bool (*crashes) (struct server *s, const struct message *m, bool begun);
	int first_ms;
	int gap_ms;
	int events;
	int restart_ms;
	int restart_cold_ms;
};

extern struct server servers[SERVERS_MAX];
extern int server_count;
extern struct server_ops server_ops;

/** server_add() - a server that has run for long, or that starts now and is
 * cold for @cold_ms */
void server_add (const char *ip, int port, const char *zone,
		 const char *service, int64_t cold_ms);
/** server_cool() - it becomes cold, once more where it is */
void server_cool (struct server *s, int64_t for_ms);
/** server_cold_until() - as it was known at @at_ms; 0: it was not cold */
int64_t server_cold_until (const struct server_start *x, int64_t at_ms);
bool server_is_cold (struct server *s);

/* platform.c */
void platform_start (const char *ip, int port, int lag_ms);

/* client.c */
extern char relay_ips[RELAYS_MAX][32];
extern int relay_count, relay_port;
extern char member_ips[MEMBERS_MAX][32];
extern int member_count, member_port;

/** ask() - sends one request to a relay and reads its answer */
void ask (int relay, const char *path, const char *body, const char *headers,
	  int limit_ms, struct message *out);
/** order() - sends an operator's call until it gets a 2xx; false: it did not */
bool order (const char *method, const char *path, const char *body,
	    int limit_ms, struct message *out);

#endif
