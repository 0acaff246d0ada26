#ifndef DH_SOAK_H
#define DH_SOAK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <h2o.h>

#include "h1cli.h"
#include "h1srv.h"
#include "tmr.h"

/*
 * A randomized soak: the real daemons as processes on loopback, stand-ins for
 * endpoints and the platform, callers and an operator in one process, faults
 * from outside.  It checks what callers, endpoints and the platform see.
 */

#define SOAK_MEMBERS 3
#define SOAK_RELAYS 3
#define SOAK_ACCOUNTS 3 /* whose keys are in force */
#define SOAK_USAGE_WINDOW_MS 2000
#define SOAK_EPS 8
#define SOAK_ID_BYTES 32

#define SOAK_TICK_MS 5

/** enum soak_kind - kinds of request; each has a route */
enum soak_kind {
	SOAK_REPEATABLE,
	SOAK_ONCE,
	SOAK_STREAM,
	SOAK_RESUMABLE,
	SOAK_KINDS,
};

/** enum soak_mode - what an endpoint does with a request */
enum soak_mode {
	SOAK_WELL,
	SOAK_REFUSES, /* not run, and says so */
	SOAK_FAILS,   /* its own 500 */
	SOAK_CUTS,    /* breaks off midway */
	SOAK_MUTE,    /* runs it and never answers */
	SOAK_DOUBLES, /* a second answer after the first */
	SOAK_MODES,
};

/** struct soak_req - a request, as its caller and the endpoints saw it */
struct soak_req {
	struct soak *k;
	char id[SOAK_ID_BYTES];
	enum soak_kind kind;
	uint32_t account; /* whose key it shows; 9: one that was withdrawn */
	uint32_t relay;
	uint32_t runs;
	uint64_t run_wall_ms; /* when it first ran */
	bool refused;         /* its caller was told that it did not run */
	bool done;
	bool probe; /* of the configuration; not counted */
	int status;
	GString *body;
	struct h1cli *call;
	uint64_t begun_ms;
};

/** struct soak_ep - an endpoint */
struct soak_ep {
	struct soak *k;
	uint32_t number, start;
	char id[SOAK_ID_BYTES];
	uint16_t port;
	struct h1srv srv;
	bool up;
	bool leaving;
	uint64_t leaving_ms;
	enum soak_mode mode;
	GPtrArray *jobs;
};

/** struct soak_proc - a daemon */
struct soak_proc {
	const char *program;
	char name[16], ip[16], dir[256];
	int pid; /* 0: down */
	bool member, stopped, ending;
	uint64_t start_ms; /* when it is to be started again; 0: not at all */
	uint64_t wake_ms;  /* when it is to go on */
	uint64_t space_ms; /* when its disk takes bytes again; 0: it does */
	uint32_t starts;
};

/** struct soak_path - one direction between two daemons */
struct soak_path {
	uint64_t cut_until_ms;
	uint64_t slow_until_ms;
};

/** struct soak_door - where a member's links are proxied */
struct soak_door {
	struct soak *k;
	int member;
	char ip[16];
	h2o_socket_t *listener;
};

/** struct soak - all of it */
struct soak {
	h2o_loop_t *loop;
	GRand *rand;
	uint32_t seed;
	char *dir, *bin;
	uint16_t front, ready, peer, api;
	struct soak_proc procs[SOAK_MEMBERS + SOAK_RELAYS];
	struct soak_path paths[SOAK_MEMBERS + SOAK_RELAYS]
			      [SOAK_MEMBERS + SOAK_RELAYS];
	struct soak_door doors[SOAK_MEMBERS];
	GArray *unserved; /* of struct failed, see explain.c */
	GPtrArray *pipes; /* of struct pipe *, see cut.c */
	struct soak_ep eps[SOAK_EPS];
	struct h1srv platform;
	bool platform_up;
	struct h1cli_host fronts[SOAK_RELAYS], apis[SOAK_MEMBERS];
	GHashTable *reqs;    /* id to struct soak_req */
	GHashTable *windows; /* number to its report's text */
	uint64_t fence;
	uint64_t offered, acked; /* versions */
	struct h1cli *put;
	GString *put_text, *get_text;
	uint32_t put_to;
	int put_status;
	uint64_t put_ms, read_version;
	bool reading, calm;
	uint64_t next_req_ms, next_fault_ms, next_put_ms;
	struct soak_proc *wiped; /* whose disk was lost last */
	long wiped_at;           /* in its log */
	uint32_t number, served, failed, refused, faults, wrong;
	struct tmr tick;
	bool over;
};

/** soak_wrong() - a promise is broken */
void soak_wrong (struct soak *k, const char *fmt, ...)
	__attribute__ ((format (printf, 2, 3)));

/* world.c: endpoints and the platform */
void world_init (struct soak *k);
void world_finish (struct soak *k);
void world_ep_up (struct soak_ep *e);
void world_ep_down (struct soak_ep *e);
void world_platform (struct soak *k, bool up);
/** world_check_usage() - compare what accounts are billed with what ran */
void world_check_usage (struct soak *k);

/* callers.c: callers and the operator */
void callers_init (struct soak *k);
void callers_tick (struct soak *k, uint64_t now_ms);
void callers_probe (struct soak *k);
void callers_finish (struct soak *k);
char *soak_answer (const char *id);
uint32_t soak_events (const char *id);

/* explain.c: failed requests and the relays' logs */
void explain_init (struct soak *k);
void explain_add (struct soak *k, const char *id, uint32_t relay);
void explain_check (struct soak *k);

/* cut.c: the links to members */
void cut_init (struct soak *k);
void cut_tick (struct soak *k, uint64_t now_ms);
void cut_fault (struct soak *k, uint64_t now_ms);
bool cut_is_any (const struct soak *k, uint64_t now_ms);
void cut_heal (struct soak *k);
void cut_finish (struct soak *k);

/* procs.c: the daemons, and what is done to them */
void procs_init (struct soak *k);
uint16_t procs_free_port (void);
void procs_tick (struct soak *k, uint64_t now_ms);
void procs_fault (struct soak *k, uint64_t now_ms);
void procs_kill_all (struct soak *k, uint64_t now_ms);
void procs_heal (struct soak *k);
void procs_finish (struct soak *k);
void procs_clean (struct soak *k);

#endif
