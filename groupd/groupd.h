#ifndef DH_GROUPD_H
#define DH_GROUPD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <h2o.h>

#include "blame.h"
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
#include "planjob.h"
#include "plantext.h"
#include "raft.h"
#include "rollout_lead.h"
#include "seeds.h"
#include "set_daemons.h"
#include "capacity.h"
#include "tmr.h"
#include "wal.h"
#include "wincount.h"

/*
 * A member of the group that serves relays.  All members replicate the
 * operator's configuration; the leader reads the platform's list of endpoints,
 * orders endpoints and reports usage.
 */

/** struct member_link - outgoing link to a group member or a seed address */
struct member_link {
	struct group *g;
	char addr[RAFT_NAME_BYTES];
	struct link *link;
	uint64_t last_named_ms; /* when the address was last known to be used */
};

/** struct accepted_link - link accepted from a relay or another member */
struct accepted_link {
	struct link *link;
	bool is_relay;
	uint64_t member_id;   /* sender of the raft messages on it, 0: none */
	uint64_t sent_digest; /* of the endpoint list sent last, 0: none */
	bool list_requested;  /* the full endpoint list is to be sent */
	uint64_t loads_sent_ms;
	uint64_t rollout_grants; /* sum of the grants sent last */
};

/** struct pending_call - API call that waits for its configuration to be
 * parsed, and then for the replicated log */
struct pending_call {
	struct h1srv_conn *conn; /* NULL once the client disconnected */
	uint64_t index;          /* log index that it waits for; 0: none yet */
	uint64_t term;
	uint64_t since_ms;
	bool is_read; /* reads, changes nothing */
	bool applied; /* its entry is; too few disks hold it yet */
	enum dia_api_call call;
	struct dia_rollout rollout; /* that it starts or reads */
	struct group *g;
	struct planjob job; /* parses the configuration that it brought */
	GBytes *text;       /* configuration that waits for another one to be
			     * parsed; NULL: none */
};

/** struct usage_report - sealing and reporting of usage windows */
struct usage_report {
	struct winsum sums; /* by "name/incarnation" of relays */
	struct h1cli *call; /* report under way, or NULL */
	uint64_t call_window;
	struct gstate_reported reported;
	uint64_t leader_since_ms; /* 0: this member is not the leader */
	uint64_t leader_term;     /* to which @leader_since_ms belongs */
	uint64_t call_term;       /* fencing token of @call */
	uint64_t retry_at_ms;     /* earliest time of the next attempt */
};

/**
 * struct scale_pool - endpoints of one service in one failure domain that are
 * bought in the same way, reclaimable or on demand
 */
struct scale_pool {
	char service[PLAN_NAME_BYTES];
	char domain[PLAN_NAME_BYTES];
	bool reclaimable;
	struct capacity_order order;   /* last order sent by this leader */
	uint64_t no_capacity_until_ms; /* platform had no capacity left */
	uint64_t retry_at_ms; /* earliest next order after a refused one */
};

/** struct scaler - ordering of endpoints */
struct scaler {
	GPtrArray *pools;              /* of struct scale_pool * */
	struct capacity_demand demand; /* in engines */
	bool demand_started;           /* @demand was set in this leadership */
	struct h1cli *call;            /* order under way, or NULL */
	struct scale_pool *call_pool;
	uint64_t call_sent_ms;
	uint64_t call_term; /* its fencing token */
	uint64_t next_check_ms;
};

/** struct endpoint_list - the platform's list of endpoints */
struct endpoint_list {
	struct eplist reader;
	uint64_t next_read_ms; /* earliest start of the next read */
	GArray *list;          /* of struct fleet_info, NULL: not yet known */
	uint64_t read_ms;      /* when the read of @list began */
	uint64_t digest;       /* of @list, 0: not yet known */
	uint64_t base_digest;  /* of the previous list, 0: none */
	GArray *changed;       /* since that list, of struct fleet_info */
	GArray *removed;       /* since that list, of struct load_ep */
};

/** struct group_rollouts - rollouts that are not over */
struct group_rollouts {
	GPtrArray *watches; /* on the leader, one for each */
	uint64_t term;      /* in which @watches began */
	bool changed;       /* relays are to be told at once */
	uint64_t sent_ms;
};

/** struct group - this member of the group */
struct group {
	struct set_groupd set;
	const char *settings_file;
	struct seeds_watch watch;
	const struct dialect *dialect;
	struct daemon d;
	struct link_self self;
	struct link_server *server;
	struct h1srv api;
	struct h1srv metrics;
	struct quota quota; /* of @api and @metrics */
	struct sockaddr_in peer_addr;
	struct sockaddr_in api_addr;
	uint64_t id;
	struct wal wal;
	struct raft raft;
	struct gstate state;
	struct err storage_err;   /* last error of the data directory */
	bool storage_down;        /* a write failed; see store_fail() */
	uint64_t reopen_at_ms;    /* when the data directory is opened again */
	GPtrArray *members;       /* of struct member_link * */
	GPtrArray *accepted;      /* of struct accepted_link * */
	GPtrArray *pending_calls; /* of struct pending_call * */
	struct pending_call *parsing; /* that a large text is parsed for */
	struct h1cli_host platform;
	struct endpoint_list endpoints;
	struct usage_report usage_report;
	struct loads loads;
	struct plan *plan; /* parsed configuration of @state, or an older one */
	struct planjob plan_job;
	uint64_t plan_job_version;
	struct scaler scaler;
	struct group_rollouts rollouts;
	struct plantext_store texts; /* configurations that relays fetch */
	struct blame blame;
	bool blame_restore_due;   /* the replicated state has it anew */
	uint64_t blame_kept_ms;   /* when the leader compared it last */
	uint64_t blame_budget_ms; /* when @blame_forwarded was 0 */
	uint32_t blame_forwarded; /* strikes sent to relays since then */
	bool loads_changed;
	uint64_t loads_sent_ms;
	guint list_cursor;          /* next of @accepted to get a full list */
	uint64_t list_requested_ms; /* when the leader was asked for it */
	struct tmr tick;
	struct tmr flush;
	bool flush_armed;
	bool state_changed; /* accepted links are to be sent the state */
	uint64_t state_sent_ms;
	uint64_t join_sent_ms;
	uint64_t leader_heard_ms;
	bool leaving;
	uint64_t leave_wait_until_ms; /* 0: it was not needed any more */
	uint64_t leave_deadline_ms;
	int status; /* exit status */
	uint64_t acks, refusals, lists, list_errors;
	uint64_t sent_bytes[FRAME_KINDS]; /* on all links, by frame kind */
};

/* main.c */

/** group_reload_seeds() - take the seeds from the settings file again */
void group_reload_seeds (struct group *g);

/** group_schedule_flush() - flush the log when the event loop is next idle */
void group_schedule_flush (struct group *g);

/** group_is_leader() - whether this member is the raft leader */
bool group_is_leader (const struct group *g);

/** group_has_leader() - whether it is the leader or heard one recently */
bool group_has_leader (const struct group *g);

/** group_has_duty() - whether the settings list @name among the duties */
bool group_has_duty (const struct group *g, const char *name);

/* store.c: durable state */

/**
 * store_open() - load the data directory, or create it
 * @e: ERR_IO, ERR_CORRUPT and the like
 *
 * Return: whether raft and the replicated state are loaded.
 */
bool store_open (struct group *g, struct err *e);

/** store_close() - release raft, the log and the replicated state */
void store_close (struct group *g);

/** store_fail() - withdraw from the group after a failed write */
void store_fail (struct group *g, uint64_t now_ms);

/**
 * store_recover() - after store_fail(), try to load the data directory again
 *
 * Return: whether the member takes part in the group.
 */
bool store_recover (struct group *g, uint64_t now_ms);

/* peer.c: links */

/** peer_init() - listen, and connect to members and seeds */
bool peer_init (struct group *g, struct err *e);

/** peer_finish() - close all links */
void peer_finish (struct group *g);

/** peer_tick() - send loads, full lists and the state where they are due */
void peer_tick (struct group *g, uint64_t now_ms);

/** peer_send_raft() - send a raft message to the member it is addressed to */
void peer_send_raft (struct group *g, const struct raft_msg *m);

/** peer_send_list_delta() - send the last change of the endpoint list */
void peer_send_list_delta (struct group *g);

/** peer_send_full_lists() - send requested full endpoint lists, up to a limit
 * in bytes per call */
void peer_send_full_lists (struct group *g);

/** peer_voters_in_touch() - voters beside this member that it hears */
uint32_t peer_voters_in_touch (const struct group *g, uint64_t now_ms);

/** peer_relay_count() - relays that have a link to this member */
uint32_t peer_relay_count (const struct group *g);

/* peer_loads.c */

/** peer_send_loads() - send sums of loads to the relays where they are due */
void peer_send_loads (struct group *g, uint64_t now_ms);

/* join.c: membership */

/** join_handle_request() - on the leader, add a member that asks to join */
void join_handle_request (struct group *g, const struct gmsg_join *j);

/** join_tick() - ask to join, or on the leader promote and remove members */
void join_tick (struct group *g, uint64_t now_ms);

/* api.c: operators' API and metrics */

/** api_init() - listen for API calls, and for metrics where configured */
bool api_init (struct group *g, struct err *e);

/** api_entry_applied() - answer the call that waits for @entry */
void api_entry_applied (struct group *g, const struct raft_entry *entry);

/** api_tick() - answer reads that may be answered, time out other calls */
void api_tick (struct group *g, uint64_t now_ms);

/** api_refuse_all() - refuse every pending call with reason @why */
void api_refuse_all (struct group *g, const char *why);

/* endpoint_list.c: the platform's list of endpoints */

/** endpoint_list_init() - set up the platform client and an empty list */
void endpoint_list_init (struct group *g);

/** endpoint_list_finish() - release the list and the platform client */
void endpoint_list_finish (struct group *g);

/** endpoint_list_tick() - read the list where that is due */
void endpoint_list_tick (struct group *g, uint64_t now_ms);

/** endpoint_list_interval_ms() - time between the starts of two reads */
uint32_t endpoint_list_interval_ms (const struct group *g);

/**
 * endpoint_list_receive() - take a full list or a delta from another member
 *
 * Return: false where @m is a delta that does not apply to the list held here.
 */
bool endpoint_list_receive (struct group *g, const struct gmsg_list *m,
			    uint64_t now_ms);

/* usage_report.c: usage windows */

/** usage_report_init() - no usage is known yet */
void usage_report_init (struct group *g);

/** usage_report_finish() - release the sums */
void usage_report_finish (struct group *g);

/** usage_report_receive() - take the counts that a relay sent on @l */
void usage_report_receive (struct group *g, const struct link *l,
			   const struct gmsg_report *r);

/** usage_report_tick() - on the leader, seal and report windows */
void usage_report_tick (struct group *g, uint64_t now_ms);

/**
 * group_may_act() - whether this member may call the platform as the leader
 *
 * It must hold the lease, and have led for a little over half a lease.
 */
bool group_may_act (struct group *g);

/* blame.c: requests that crash endpoints */

/** group_blame_init() - nothing is known yet */
void group_blame_init (struct group *g);
void group_blame_finish (struct group *g);

/** group_blame_receive() - merge records of the relay on @from, and forward
 * what is new to the other relays */
void group_blame_receive (struct group *g, struct link *from,
			  const struct gmsg_blame *m, uint64_t now_ms);

/** group_blame_send_all() - send the table to a relay whose link is up */
void group_blame_send_all (struct group *g, struct link *l, uint64_t now_ms);

/** group_blame_restore() - after a restart, take what the replicated state
 * keeps, and tell the relays */
void group_blame_restore (struct group *g, uint64_t now_ms);

/** group_blame_tick() - bar what is due; on the leader, keep what changed */
void group_blame_tick (struct group *g, uint64_t now_ms);

/* config.c: configurations that relays fetch */

/** group_config_init() - no relay has asked yet */
void group_config_init (struct group *g);
void group_config_finish (struct group *g);

/** group_config_send() - send what the relay on @l asks for with @a */
void group_config_send (struct group *g, struct link *l,
			const struct gmsg_request *a, uint64_t now_ms);

/* scale.c: orders of endpoints */

/** scale_init() - no pools are known yet */
void scale_init (struct group *g);

/** scale_finish() - release the pools and the parsed configuration */
void scale_finish (struct group *g);

/** scale_tick() - on the leader, order endpoints where demand asks for it */
void scale_tick (struct group *g, uint64_t now_ms);

/** plan_refresh() - parse the configuration in force if it changed; whether one
 * is parsed, this or an older one */
bool plan_refresh (struct group *g);

/* scale_order.c */

/**
 * scale_order_send() - order endpoints for a pool
 * @s: the pool; its last order is replaced
 * @count: endpoints that it should have
 * @have: endpoints of it that the platform lists
 *
 * No other order may be under way (scaler.call).
 */
void scale_order_send (struct group *g, struct scale_pool *s, uint32_t count,
		       uint32_t have, uint64_t now_ms);

/** scale_order_tick() - give up an order whose answer is overdue */
void scale_order_tick (struct group *g, uint64_t now_ms);

/* rollout.c */

/** group_has_rollouts() - whether the deployment has them */
bool group_has_rollouts (const struct group *g);

/** group_rollout_init() - none is watched yet */
void group_rollout_init (struct group *g);
void group_rollout_finish (struct group *g);

/**
 * group_serves() - whether the configuration in force has @service
 * @known: set to whether that configuration is parsed
 */
bool group_serves (struct group *g, const char *service, bool *known);

/** group_rollout_tick() - on the leader, decide and grant; tell relays */
void group_rollout_tick (struct group *g, uint64_t now_ms);

/** group_rollout_applied() - @entry is committed and applied */
void group_rollout_applied (struct group *g, const struct raft_entry *entry);

/** group_rollout_link_up() - tell a relay whose link is up */
void group_rollout_link_up (struct group *g, struct accepted_link *a,
			    uint64_t now_ms);

/** group_rollout_link_down() - a relay's link is down */
void group_rollout_link_down (struct group *g, const struct accepted_link *a);

/** group_rollout_receive() - take the reports of a relay */
void group_rollout_receive (struct group *g, const struct link *from,
			    const struct gmsg_rollout_reports *m,
			    uint64_t now_ms);

/** group_rollout_print() - append metrics */
void group_rollout_print (const struct group *g, GString *out);

#endif
