#ifndef DH_GROUPD_H
#define DH_GROUPD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <h2o.h>

#include "daemon.h"
#include "dialect.h"
#include "eplist.h"
#include "fleet.h"
#include "gmsg.h"
#include "gstate.h"
#include "h1cli.h"
#include "h1srv.h"
#include "link.h"
#include "loads.h"
#include "raft.h"
#include "set_daemons.h"
#include "capacity.h"
#include "tmr.h"
#include "wal.h"
#include "wincount.h"

/*
 * A member of the group that serves relays: it replicates the operator's
 * configuration, reads the platform's list of endpoints and reports usage.
 */

/** struct member - another member, or an address where one may be */
struct member {
	struct group *g;
	char addr[RAFT_NAME_BYTES];
	struct link *out;
	uint64_t heard_ms;  /* when a frame came over @out last */
	uint64_t wanted_ms; /* when something last named the address */
};

/** struct asker - a link that was accepted: a relay, or another member */
struct asker {
	struct link *link;
	bool is_relay;
	uint64_t id; /* of the member that sends its log messages on it, or 0 */
	uint64_t heard_ms;
	uint64_t told_stamp; /* of the list sent last */
	bool list_asked;     /* it waits for the whole list */
	uint64_t loads_told_ms;
};

/** struct waiting - an operator's call that waits for the log */
struct waiting {
	struct h1srv_conn *conn; /* NULL once the operator is gone */
	uint64_t index;          /* of the log */
	uint64_t term;
	uint64_t since_ms;
	bool reads; /* the configuration is to be read back */
};

/** struct duty - the reporting of usage */
struct duty {
	struct winsum usage; /* by "name/incarnation" of relays */
	struct h1cli *call;
	uint64_t call_window;
	struct gstate_reported told;
	uint64_t leading_ms; /* since when this member leads; 0: it doesn't */
	uint64_t again_ms;   /* not before this */
};

/** struct subject - one kind of endpoints of a service in a domain */
struct subject {
	char service[PLAN_NAME_BYTES];
	char domain[PLAN_NAME_BYTES];
	bool cheap;
	struct capacity_order order; /* the last one of this leader */
	uint64_t scarce_until_ms;    /* no cheap ones were to be had */
	uint64_t again_ms;           /* an order was refused: none before */
};

/** struct scaler - orders of endpoints */
struct scaler {
	GPtrArray *subjects; /* of struct subject * */
	struct capacity_demand need;
	bool started; /* @need was set since this member leads */
	struct h1cli *call;
	struct subject *call_subject;
	uint64_t call_ms;
	uint64_t next_ms;
};

/** struct lister - the reading of the platform's list */
struct lister {
	struct eplist reader;
	uint64_t next_ms; /* of the next reading */
	GArray *list;     /* of struct fleet_info, NULL before the first */
	uint64_t list_ms; /* when its reading began */
	uint64_t stamp;   /* fleet_list_digest(), 0 before the first */
	uint64_t base;    /* the stamp before */
	GArray *changed;  /* since then, of struct fleet_info */
	GArray *gone;     /* since then, of struct load_ep */
};

/** struct group - this member */
struct group {
	struct set_groupd set;
	const struct dialect *dialect;
	struct daemon d;
	struct link_self self;
	struct link_server *server;
	struct h1srv api;
	struct h1srv metrics;
	struct sockaddr_in peer_addr;
	struct sockaddr_in api_addr;
	uint64_t id;
	struct wal wal;
	struct raft raft;
	struct gstate state;
	struct err storage;
	bool storage_down;   /* a write failed; see store_down() */
	uint64_t storage_ms; /* when the folder is read again */
	GPtrArray *members;  /* of struct member * */
	GPtrArray *askers;   /* of struct asker * */
	GPtrArray *waitings; /* of struct waiting * */
	struct h1cli_host cloud;
	struct lister lister;
	struct duty duty;
	struct loads loads;
	struct plan *plan; /* of the state's configuration, or NULL */
	struct scaler scaler;
	bool loads_changed;
	uint64_t loads_told_ms;
	guint list_turn;        /* whose turn it is to get the whole list */
	uint64_t list_asked_ms; /* of the leader */
	struct tmr tick;
	struct tmr flush;
	bool flush_armed;
	bool changed; /* askers are to be told the state */
	uint64_t told_ms;
	uint64_t joined_ms;
	uint64_t leader_heard_ms;
	bool leaving;
	uint64_t leave_until_ms;
	int status;
	uint64_t acks, refusals, lists, list_errors;
	uint64_t sent_bytes[FRAME_KINDS]; /* by links, by kind */
};

/* main.c */
void group_wake (struct group *g);
bool group_leads (const struct group *g);
bool group_is_fresh (const struct group *g);
bool group_has_duty (const struct group *g, const char *name);

/* store.c: durable state */
bool store_open (struct group *g, struct err *e);
void store_close (struct group *g);
void store_down (struct group *g, uint64_t now_ms);
bool store_up (struct group *g, uint64_t now_ms);

/* peer.c: links */
bool peer_init (struct group *g, struct err *e);
void peer_finish (struct group *g);
void peer_tick (struct group *g, uint64_t now_ms);
void peer_send_raft (struct group *g, const struct raft_msg *m);
void peer_tell_list (struct group *g);
void peer_list_turn (struct group *g);

/* join.c: who is in the group */
void join_ask (struct group *g, const struct gmsg_join *j, uint64_t now_ms);
void join_tick (struct group *g, uint64_t now_ms);

/* api.c: operators */
bool api_init (struct group *g, struct err *e);
void api_applied (struct group *g, const struct raft_entry *entry);
void api_tick (struct group *g, uint64_t now_ms);
void api_refuse_all (struct group *g, const char *why);

/* cloud.c: the platform's list */
void cloud_init (struct group *g);
void cloud_finish (struct group *g);
void cloud_tick (struct group *g, uint64_t now_ms);
uint32_t cloud_pause_ms (const struct group *g);
bool cloud_take (struct group *g, const struct gmsg_list *m, uint64_t now_ms);

/* duty.c: usage reports */
void duty_init (struct group *g);
void duty_finish (struct group *g);
void duty_take (struct group *g, const struct link *l,
		const struct gmsg_report *r);
void duty_tick (struct group *g, uint64_t now_ms);
bool duty_may_act (struct group *g, uint64_t now_ms);

/* scale.c: orders of endpoints */
void scale_init (struct group *g);
void scale_finish (struct group *g);
void scale_tick (struct group *g, uint64_t now_ms);

#endif
