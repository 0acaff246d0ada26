#ifndef DH_H1CLI_PRIV_H
#define DH_H1CLI_PRIV_H

#include "h1cli.h"

/*
 * Shared by the files of the client.
 */

/* Requests whose ids a connection remembers; a repeat comes soon or never. */
#define SENT_IDS 16

enum call_phase {
	CALL_CONNECTING,
	CALL_HEAD, /* sent, waits for a head */
	CALL_BODY,
	CALL_SKIP, /* reads the body of an answer to another request */
};

struct h1cli_conn {
	struct h1cli_host *host;
	struct sio io;
	h2o_socket_t *connecting;
	struct h1cli *call; /* NULL while idle */
	uint64_t idle_since_ms;
	uint32_t keep_ms;
	GList *link;                 /* in host->idle */
	GList pool_link;             /* in host->pool->idle, while idle */
	uint32_t sent_ids[SENT_IDS]; /* hashes, 0: unused */
	uint32_t sent_count;
	bool had_head_request;
	bool reading;
	bool dead;
};

struct h1cli {
	struct h1cli_host *host;
	struct h1cli_conn *conn;
	const struct h1cli_ops *ops;
	void *ctx;
	enum call_phase phase;
	GByteArray *out;      /* the request, until the connection stands */
	GByteArray *out_body; /* follows it; NULL: none */
	bool to_head;
	char *echo_name;
	char *echo_value;
	struct sio_limits limits;
	struct tmr tmr;
	struct h1_body body;
	bool close;
	bool sent;
	bool reused;
	bool refused;
	uint32_t keep_s;
	uint32_t skipped;
	uint64_t skipped_bytes;
	uint32_t interim;
};

/** h1cli_conn_keep() - put a connection to the idle ones of its host */
void h1cli_conn_keep (struct h1cli_conn *c);

/** h1cli_conn_made() - count a new connection; an idle one of another host may
 * be closed for it */
void h1cli_conn_made (struct h1cli_conn *c);

/** h1cli_conn_close() - close a connection, in use or not */
void h1cli_conn_close (struct h1cli_conn *c);

/** h1cli_conn_take() - a kept connection for the request called @id, or NULL */
struct h1cli_conn *h1cli_conn_take (struct h1cli_host *h, uint32_t idle_max_ms,
				    const char *id);

/** h1cli_id_hash() - hash of a request's id, never 0 */
uint32_t h1cli_id_hash (const char *id);

#endif
