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
/* Client accounts are named by this and their number; names that are cut to 63
 * bytes become one. */
#define ACCOUNT_PREFIX                                                         \
	"client-account-with-a-name-that-is-longer-than-sixty-three-bytes-"
#define SOAK_ACCOUNTS 3 /* whose keys are in force */
#define SOAK_USAGE_WINDOW_MS 2000
#define SOAK_EPS 8
#define SOAK_PORTS 4   /* front, ready, peer and api */
#define SOAK_ENGINES 5 /* the first of them; the others are servers */
#define SOAK_DOMAINS 2
#define SOAK_ID_BYTES 32
#define SOAK_EXTRAS 6 /* routes that come and go */

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
	SOAK_MODES,   /* those that faults are drawn from */
	SOAK_FLOODS,  /* bytes that are no answer, without end */
};

/** enum soak_crash - what crashes endpoints */
enum soak_crash {
	SOAK_CRASH_NONE,
	SOAK_CRASH_SEGMENT, /* each request with a segment */
	SOAK_CRASH_REQUEST, /* one request that comes again */
	SOAK_CRASH_GROUP,   /* the same, at all servers within a moment */
	SOAK_CRASH_CURED,   /* the same, and then it is sound */
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
	bool ok;     /* a whole answer of the endpoint */
	bool strict; /* no fault excuses its failure */
	int extra;   /* the route that comes and goes; -1: none */
	bool reused; /* its connection was kept */
	uint32_t rested_ms, idle_limit_ms;
	uint32_t patience_ms;
	uint32_t path_number, first_segment, middle_segment, last_segment;
	bool crashes; /* who begins to answer it */
	bool sound;   /* it looks much like one that does */
	bool late;    /* it reached an endpoint when it should not */
	int status;
	uint64_t heard_ms;
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
	h2o_loop_t *loop;
	bool crashing;
	uint64_t up_at_ms;
	uint64_t silent_until_ms; /* it writes nothing before, then goes on */
	uint32_t silence; /* its place in the list, from 1 on; 0: none */
	bool reads;       /* meanwhile */
	uint32_t ran[SOAK_RELAYS]; /* of each relay, since they were reset */
};

/** struct soak_silence - a time in which a sound endpoint wrote nothing */
struct soak_silence {
	char id[SOAK_ID_BYTES];
	uint32_t ms;
	uint64_t begun_wall_ms;
};

/** struct soak_proc - a daemon */
struct soak_proc {
	const char *program;
	char name[16], ip[16], dir[256];
	int pid; /* 0: down */
	bool member, stopped, ending;
	uint64_t start_ms; /* when it is to be started again; 0: not at all */
	uint64_t term_ms;  /* when it last got SIGTERM; 0: never */
	uint64_t gone_ms;  /* when it last ended */
	uint64_t wake_ms;  /* when it is to go on */
	uint64_t space_ms; /* when its disk takes bytes again; 0: it does */
	uint32_t starts;
};

/** struct soak_version - a configuration as it was sent */
struct soak_version {
	uint64_t version;
	uint64_t acked_ms; /* 0: it was not acknowledged */
	uint32_t idle_ms, header_ms;
	uint32_t timeout_ms[SOAK_KINDS];
	uint32_t app_share[SOAK_KINDS]; /* in percent; the rest is the llm's */
	uint32_t extras;                /* bits */
	uint32_t more_keys;             /* bits */
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
	GRand *rand;    /* what faults are drawn from */
	GRand *traffic; /* and what is sent */
	uint32_t seed;
	char *dir, *bin;
	char net[12]; /* the run's loopback addresses: 127.X.Y */
	uint16_t front, ready, peer, api;
	struct soak_proc procs[SOAK_MEMBERS + SOAK_RELAYS];
	struct soak_path paths[SOAK_MEMBERS + SOAK_RELAYS]
			      [SOAK_MEMBERS + SOAK_RELAYS];
	struct soak_door doors[SOAK_MEMBERS];
	GArray *silences; /* of struct soak_silence */
	GArray *unserved; /* of struct failed, see explain.c */
	GPtrArray *pipes; /* of struct pipe *, see cut.c */
	struct soak_ep eps[SOAK_EPS];
	uint32_t used[SOAK_EPS][SOAK_RELAYS]; /* requests before silences */
	struct h1srv platform;
	bool platform_up;
	struct h1cli_host fronts[SOAK_RELAYS], apis[SOAK_MEMBERS];
	GHashTable *reqs;    /* id to struct soak_req */
	GHashTable *windows; /* number to its report's text */
	uint64_t fence;
	uint64_t offered, acked; /* versions */
	GArray *versions;        /* of struct soak_version */
	GPtrArray *kept;         /* of struct kept *, see kept.c */
	struct {
		bool on;
		uint64_t begun_wall_ms;
		bool left_out; /* lines of relays' logs */
		uint32_t silences;
		uint32_t errors; /* 5xx but 503 */
		uint32_t refused;
		uint32_t reused;  /* connections that rested a second or more */
		uint32_t closed;  /* while they might rest on */
		uint32_t resends; /* by relays */
		uint32_t reruns;  /* seen by endpoints */
	} quiet; /* silences and configurations, and nothing else */
	struct {
		bool on;
		enum soak_crash what;
		enum soak_kind kind; /* of the one request */
		bool head;           /* is sent before the crash */
		uint32_t crashes, reached, late;
		uint64_t known_ms; /* what crashes them is to be known */
		uint64_t next_sound_ms, next_bad_ms;
		uint32_t usual, after; /* sound requests served; where a cause
					  is cured, those sent and served */
	} crash;
	struct {
		bool on;
		uint32_t grace_ms; /* 0: the relays' default */
		uint64_t next_ms;
		uint32_t count, answered, unsent, crossed, late; /* requests */
	} stops;           /* planned stops of relays and configurations */
	uint32_t event_ms; /* between two events of a stream */
	struct h1cli *put;
	GString *get_text;
	uint32_t put_to;
	int put_status;
	uint64_t put_ms, read_version;
	bool reading, calm;
	uint64_t next_req_ms, next_fault_ms, next_put_ms, next_silence_ms;
	struct soak_proc *wiped; /* whose disk was lost last */
	long wiped_at;           /* in its log */
	uint32_t number, served, failed, refused, faults, wrong;
	uint32_t denied; /* with a withdrawn key */
	struct tmr tick;
	bool over;
	uint64_t turn_ms, pause_ms; /* the last turn, the longest between two */
};

/** soak_run_for() - go on for so long, or until a version is acknowledged */
void soak_run_for (struct soak *k, uint64_t ms, bool until_acked);

/** soak_wrong() - a promise is broken */
void soak_wrong (struct soak *k, const char *fmt, ...)
	__attribute__ ((format (printf, 2, 3)));

/* endpoints.c */
void world_ep_up (struct soak_ep *e);
void world_ep_down (struct soak_ep *e);
/** world_ep_silence() - write nothing for a while; @reads: but read on */
void world_ep_silence (struct soak_ep *e, uint32_t ms, bool reads);
/** floods_play() - some endpoints send bytes without end */
void floods_play (struct soak *k);
/** floods_write() - more of them */
void floods_write (struct h1srv_conn *c, struct soak_req *r, bool first);
/** world_run() - a turn of each endpoint that is awake */
void world_run (struct soak *k);

/* world.c: the platform, and what it learns */
struct sockaddr_in world_addr (const struct soak *k, uint16_t port);
void world_init (struct soak *k);
void world_finish (struct soak *k);
void world_platform (struct soak *k, bool up);
/** world_check_usage() - compare what accounts are billed with what ran */
void world_check_usage (struct soak *k);

/* quiet.c: silences and configurations, and nothing else */
void quiet_tick (struct soak *k, uint64_t now_ms);
/** quiet_check_used() - whether relays use again what they used before */
void quiet_check_used (struct soak *k);
/** quiet_note_used() - remember what is used, and begin to count anew */
void quiet_note_used (struct soak *k);
/** quiet_check_logs() - what relays sent again, once they have ended */
void quiet_check_logs (struct soak *k);

/* stops.c: planned stops of relays */
void stops_play (struct soak *k, uint64_t ms);
void stops_tick (struct soak *k, uint64_t now_ms);
/** stops_excuses() - whether the planned stop of its relay may end a request
 * that way */
bool stops_excuses (struct soak_req *r, enum h1cli_end end);
/** stops_check_gone() - a relay that was stopped has ended */
void stops_check_gone (struct soak *k, const struct soak_proc *p);

/* crash.c: requests that crash endpoints */
void crash_tick (struct soak *k, uint64_t now_ms);
void crash_ep (struct soak_ep *e);
/** crash_reached() - an endpoint got a request */
void crash_reached (struct soak_ep *e, struct soak_req *r);
void crash_play (struct soak *k);

/* operator.c: the operator, and the versions that may be in force */
void operator_init (struct soak *k);
void operator_tick (struct soak *k, uint64_t now_ms);
/** operator_idle_ms() - the idle limit that callers go by */
uint32_t operator_idle_ms (struct soak *k);
/** operator_timeout_ms() - the shortest that may hold for a request */
uint32_t operator_timeout_ms (struct soak *k, enum soak_kind kind,
			      uint64_t begun_ms);
/** operator_allows() - whether a service may run such a request */
bool operator_allows (struct soak *k, enum soak_kind kind, bool app,
		      uint64_t begun_ms);
/** operator_extra() - whether any, and all, of the versions that may be in
 * force have the route */
void operator_extra (struct soak *k, int extra, uint64_t begun_ms, bool *any,
		     bool *all);
void operator_finish (struct soak *k);

/* callers.c: callers */
extern const char *const soak_paths[SOAK_KINDS];
void callers_init (struct soak *k);
void callers_tick (struct soak *k, uint64_t now_ms);
void callers_probe (struct soak *k);
/** callers_new() - a request that is not sent yet */
struct soak_req *callers_new (struct soak *k, uint32_t relay,
			      enum soak_kind kind, uint32_t account);
/** callers_text() - its bytes; free with g_free() */
char *callers_text (struct soak_req *r);
void callers_start (struct soak_req *r);
void callers_head (struct soak_req *r, int status, bool echoed);
void callers_data (struct soak_req *r, const char *data, size_t len);
void callers_done (struct soak_req *r, enum h1cli_end end);
bool callers_gives_up (struct soak_req *r, uint64_t now_ms);
/** callers_left() - its caller closed the connection before the answer */
void callers_left (struct soak_req *r);
void callers_finish (struct soak *k);
char *soak_answer (const char *id);
uint32_t soak_events (const char *id);

/* kept.c: callers whose connections rest */
void kept_init (struct soak *k);
void kept_finish (struct soak *k);

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
/* Ports that differ from each other; @n: at most SOAK_PORTS.  Each is held
 * until all are chosen, as the kernel may give a closed one again. */
void procs_free_ports (uint16_t *ports, uint32_t n);
void procs_tick (struct soak *k, uint64_t now_ms);
void procs_fault (struct soak *k, uint64_t now_ms);
void proc_kill (struct soak_proc *p, int sig);
void procs_kill_all (struct soak *k, uint64_t now_ms);
void procs_heal (struct soak *k);
void procs_finish (struct soak *k);
void procs_clean (struct soak *k);

#endif
