#ifndef DH_RELAYD_H
#define DH_RELAYD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <h2o.h>

#include "failover.h"
#include "daemon.h"
#include "dialect.h"
#include "eplist.h"
#include "evstream.h"
#include "fleet.h"
#include "gmsg.h"
#include "h1cli.h"
#include "h1srv.h"
#include "hist.h"
#include "waitq.h"
#include "link.h"
#include "loads.h"
#include "place.h"
#include "plan.h"
#include "set_daemons.h"
#include "rbudget.h"
#include "tmr.h"
#include "wincount.h"

/*
 * A relay: an instance that takes opaque requests from callers and sends them
 * to endpoints, by the configuration and the list that its group holds.  The
 * decisions are the library's; what stands here carries them out.
 */

struct relay;

/** struct call - one caller's request */
struct call {
	struct relay *r;
	struct h1srv_conn *caller;
	struct dia_request req;
	struct plan *plan; /* that it was admitted by */
	const struct plan_route *route;
	struct plan_service *service;
	char account[PLAN_NAME_BYTES]; /* "" on open routes */
	uint32_t tier;
	GString *line;    /* method and path */
	GString *headers; /* that go on to an endpoint */
	GByteArray *body;
	bool to_head;
	uint64_t arrived_ms;
	uint64_t deadline_ms;
	struct waitq_entry hold;
	uint64_t lost_ms; /* when a send failed last; 0: none did */
	GList *waits;     /* its place in r->waiting, or NULL */
	/* sends */
	struct fleet_ep *tried[PLACE_TRIED_MAX];
	uint32_t tried_count;
	uint32_t sends, runs;
	struct fleet_ep *ep; /* where it is now, or NULL */
	struct h1cli *x;
	uint64_t sent_ms;
	char copy_from[FLEET_NAME_BYTES]; /* an engine's address, or "" */
	bool counted;                     /* its reading is in r->work_ms */
	double to_read;  /* prompt tokens that this send has to read */
	double plain_ms; /* reading time before its first byte, as predicted */
	bool read;       /* its first byte came */
	/* answer */
	int status;
	struct dia_response answer;
	GString *head;   /* header lines of the endpoint's answer */
	GString *buffer; /* its body, where it is passed on at once */
	bool streams;    /* pieces are passed on as they come */
	bool begun;      /* the head went to the caller */
	struct evstream evstream;
	bool paused;
	uint64_t first_ms; /* when the first byte went to the caller */
};

/** struct upstream - an endpoint's connections and probes */
struct upstream {
	struct relay *r;
	struct fleet_ep *ep;
	struct h1cli_host host;
	struct h1cli *probe;
	uint64_t probe_ms;
	struct dia_response answer;
	int status;
};

/** struct member - a member of the group */
struct member {
	struct relay *r;
	char addr[RAFT_NAME_BYTES];
	struct link *link;
	uint64_t heard_ms;
	uint64_t wanted_ms;
	bool fresh, leads;
	bool told_loads;  /* it sums our loads, see loads_choose_member() */
	uint64_t version; /* that it holds */
	uint64_t list_stamp;
	uint64_t list_ms; /* when its list was read, by our clock */
	int64_t clock_ms; /* its wall clock less our monotonic one; 0: unknown
			   */
	uint32_t relays;
	uint64_t usage_told; /* see wincount_report() */
	uint64_t reported_ms;
};

/** struct relay_stats - counters since the start */
struct relay_stats {
	uint64_t requests, served, refused, failed, passed, cut, gone;
	uint64_t sends, retries, resumed, unsent, probes;
	struct hist first_us, whole_us;
};

/** struct relay - this instance */
struct relay {
	struct set_relayd set;
	const struct dialect *dialect;
	struct daemon d;
	struct link_self self;
	uint32_t name_hash; /* of its own name */
	struct in_addr from;
	uint16_t peer_port;
	struct h1srv front, ready, metrics;
	GRand *rand;
	struct plan *plan; /* NULL before the first */
	struct fleet fleet;
	struct rbudget *rbudget;
	uint64_t drain_index;
	uint64_t list_ms; /* when the list in use was read; 0: none */
	uint64_t list_stamp;
	GPtrArray *members; /* of struct member * */
	GPtrArray *calls;   /* of struct call * */
	GPtrArray *early;   /* of struct early *, see early.c */
	uint64_t early_bytes;
	GQueue waiting;  /* of struct call *, the most urgent first */
	uint32_t relays; /* that share the endpoints */
	uint64_t started_ms;
	uint64_t asked_ms;
	uint64_t list_behind_ms; /* since when a member has a newer list; 0:
				    none */
	uint64_t list_asked_ms;  /* for a whole list; 0: none is awaited */
	double work_ms;     /* reading time asked of engines since the start */
	GArray *sent_parts; /* of struct load_segment, not yet told the leader
			     */
	bool load_changed;  /* since the leader was told */
	uint64_t load_told_ms;
	uint64_t watch_told_ms; /* when whose loads are wanted was told */
	uint64_t others_ms;     /* when the others' loads came last */
	/* own reading of the platform's list */
	struct h1cli_host cloud;
	struct eplist lister;
	uint64_t list_next_ms;
	uint64_t list_backoff_ms; /* after readings that were refused */
	uint64_t probe_look_ms;
	uint32_t list_pause_ms; /* between the group's readings of the list */
	/* usage */
	struct wincount usage;
	uint64_t sealed;
	struct tmr tick, wake;
	bool leaving;
	uint64_t leave_ms;
	struct relay_stats stats;
	uint64_t sent_bytes[FRAME_KINDS]; /* by links, by kind */
};

/* main.c */
bool relay_knows (const struct relay *r);
bool relay_is_ready (const struct relay *r);
uint64_t relay_wall_ms (const struct relay *r);

/* front.c: requests as they come in */
bool front_init (struct relay *r, struct err *e);
void front_finish (struct relay *r);
void front_take (struct relay *r, struct h1srv_conn *conn,
		 const struct h1_head *h, const GByteArray *body,
		 uint64_t arrived_ms);
void front_refuse (struct relay *r, struct h1srv_conn *c, const char *id,
		   int status, uint32_t after_ms, const char *why);

/* early.c: requests before the configuration */
void early_init (struct relay *r);
void early_finish (struct relay *r);
bool early_add (struct relay *r, struct h1srv_conn *conn,
		const struct h1_head *h, const GByteArray *body);
void early_gone (struct relay *r, const struct h1srv_conn *conn);
void early_tick (struct relay *r, uint64_t now_ms);

/* call.c: the life of a request */
void call_begin (struct call *c);
void call_try (struct call *c);
void call_gone (struct call *c);
void call_after (struct call *c);
void call_fail (struct call *c, int status, uint32_t after_ms, const char *why);
void call_done (struct call *c, const char *outcome);
void call_leave_ep (struct call *c);
void call_wake (struct relay *r);
void call_init (struct relay *r);
void call_tick (struct relay *r, uint64_t now_ms);

/* back.c: exchanges with endpoints */
void back_send (struct call *c, const struct place_result *v);

/* upstream.c: endpoints, and the list read by ourselves */
extern const struct fleet_ops upstream_fleet_ops;
void upstream_init (struct relay *r);
void upstream_finish (struct relay *r);
void upstream_tick (struct relay *r, uint64_t now_ms);

/* member.c: the group */
/* A member that hears no leader is believed only after this time without one
 * that does, so that a relay that starts does not begin with what is old. */
#define MEMBER_STALE_WAIT_MS 2500
void member_init (struct relay *r);
void member_finish (struct relay *r);
void member_tick (struct relay *r, uint64_t now_ms);

/* usage.c: what client accounts used */
void usage_init (struct relay *r);
void usage_finish (struct relay *r);
void usage_count (struct relay *r, const char *account);
void usage_tick (struct relay *r, uint64_t now_ms);

/* stat.c: counters */
void stat_print (struct relay *r, GString *out);

#endif
