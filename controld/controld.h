#ifndef DH_CONTROLD_H
#define DH_CONTROLD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <h2o.h>
#include <json-c/json.h>

#include "daemon.h"
#include "httpd.h"
#include "link.h"
#include "order.h"
#include "plat.h"
#include "proto.h"
#include "raft.h"
#include "scale_view.h"
#include "set_daemons.h"
#include "sm.h"
#include "tmr.h"
#include "wal.h"

#define CONTROL_TOKEN_BYTES 128
#define CONTROL_HEARTBEAT_MS 100
#define CONTROL_ELECTION_MS 600
#define CONTROL_LEASE_MARGIN_MS 100
#define CONTROL_WITHDRAW_MS 2000 /* for another to commit a withdrawal */
#define CONTROL_STATUS_MS 300    /* between two statuses of a member */

/** struct peer - another member of the group */
struct peer {
	struct control *c;
	uint64_t id;
	char name[SET_NAME_BYTES];
	char addr[SET_ADDR_BYTES];  /* as in the group's configuration */
	char admin[SET_ADDR_BYTES]; /* as it says itself, or "" */
	struct link *out;           /* ours to it */
	struct link *in;            /* its to us, or NULL */
};

/** struct sub - an entry that gets the inventory from this member */
struct sub {
	struct link *link;
	char name[INV_NAME_BYTES];
	uint64_t sent; /* revision sent last */
};

/** struct confirm - the revision that an entry has in force */
struct confirm {
	char name[INV_NAME_BYTES];
	uint64_t revision;
	bool dirty; /* confirmed here, other members not told yet */
};

/**
 * struct call_result - what became of a call
 * @error: ERR_NONE where it was committed; ERR_NO_QUORUM where it certainly
 *	was not; ERR_NOT_LEADER; ERR_OUTCOME_UNKNOWN
 * @reply: of the state machine, where it was committed
 */
struct call_result {
	enum err_kind error;
	const struct sm_reply *reply;
};

typedef void (*call_cb) (const struct call_result *res, void *ctx);

/** struct control - a control member */
struct control {
	struct set_controld set;
	char admin_token[CONTROL_TOKEN_BYTES];
	char peer_addr[SET_ADDR_BYTES];
	char admin_addr[SET_ADDR_BYTES];
	struct daemon d;
	struct link_self self;
	struct link_server *server;
	struct httpd admin;
	struct quota quota;
	struct tmr tick;
	struct tmr flush;
	bool flush_armed;
	uint64_t id;

	struct wal wal;
	struct raft raft;
	struct sm *sm;
	struct err storage; /* what made the storage fail */

	GHashTable *links; /* every struct link * that is up */
	GPtrArray *peers;  /* of struct peer * */
	uint64_t peers_of; /* raft.config_changes that they were made from */
	uint64_t participants[RAFT_MEMBERS_MAX]; /* as the leader says */
	uint32_t participant_count;
	uint64_t participants_ms; /* when it did */
	uint64_t status_at_ms;

	GHashTable *calls;    /* call id to struct call */
	GHashTable *proposed; /* log index to struct call */
	uint64_t call_id;

	GPtrArray *subs;      /* of struct sub * */
	GHashTable *confirms; /* entry name to struct confirm */
	GHashTable *flooded;  /* key ids withdrawn, not yet committed; to the
				 time (ms) at which to commit them */
	uint64_t told_revision;
	uint64_t beat_at_ms;

	struct platform *platform; /* NULL without one */
	struct scale *scale;       /* the same */
	GHashTable *loads;         /* entry name to struct load */
	uint64_t loads_to;         /* the leader that was told of them */
	uint64_t loads_at_ms;

	GPtrArray *waits; /* requests that are polled, struct waiting * */
	bool leaving;
	uint64_t leave_until_ms;
	int status; /* exit status */
};

/* main.c */
void control_wake (struct control *c); /* flush at the end of this turn */
void control_leave (struct control *c);

/* store.c: the log core's owner */
bool store_open (struct control *c, struct err *e);
void store_close (struct control *c);
bool store_init (struct control *c, bool join, const char *inventory,
		 struct err *e);

/* peer.c: links to members and entries */
bool peer_listen (struct control *c, struct err *e);
void peer_remap (struct control *c);
void peer_send_raft (struct control *c, const struct raft_msg *m);
struct peer *peer_by_id (struct control *c, uint64_t id);
struct link *peer_link (struct peer *p);
void peer_tick (struct control *c, uint64_t now_ms);
void peer_close (struct control *c);

/* call.c: commands on their way to the log */

/**
 * call_start() - commit a command
 * @kind: enum sm_kind
 * @data: the packed command; copied
 * @forwarded: it came from another member, and goes no further
 * @timeout_ms: until then it waits for a leader and for the commit
 * @cb: called once, never before this returns
 */
void call_start (struct control *c, uint8_t kind, const void *data, size_t len,
		 bool forwarded, uint32_t timeout_ms, call_cb cb, void *ctx);

/** call_await() - call back when the log entry at @index is applied */
void call_await (struct control *c, uint64_t index, uint32_t timeout_ms,
		 call_cb cb, void *ctx);
void call_applied (struct control *c, const struct raft_entry *entry,
		   const struct sm_reply *reply);
void call_installed (struct control *c, uint64_t index);
void call_link_down (struct control *c, struct link *l);
void call_on_command (struct control *c, struct link *l,
		      const struct proto_command *m);
void call_on_reply (struct control *c, const struct proto_command_reply *m);
void call_tick (struct control *c, uint64_t now_ms);
void call_init (struct control *c);
void call_finish (struct control *c);

/* conf.c: the inventory's way to the entries */
void conf_init (struct control *c);
void conf_finish (struct control *c);
void conf_subscribe (struct control *c, struct link *l,
		     const struct proto_subscribe *m);
void conf_confirm (struct control *c, const char *entry, uint64_t revision,
		   bool here);
void conf_link_down (struct control *c, struct link *l);
void conf_tell (struct control *c); /* after entries were applied */
void conf_tick (struct control *c, uint64_t now_ms);

/**
 * conf_withdraw() - tell entries and members at once that a key is withdrawn
 * @commit_in_ms: commit it from here, too, where it is not by then
 */
void conf_withdraw (struct control *c, const char *key_id,
		    uint32_t commit_in_ms);

/* Tell every entry which instances the platform lists as leaving. */
void conf_tell_leaving (struct control *c);

/* platform.c: orders, usage reports, the list of instances */
bool platform_init (struct control *c, struct err *e);
void platform_tick (struct control *c, uint64_t now_ms);
void platform_finish (struct control *c);

/** platform_idle() - whether no write to the platform stands */
bool platform_idle (const struct control *c);

/** platform_inv() - the inventory's typed form; NULL before the first */
const struct inv *platform_inv (const struct control *c);

/** platform_lead() - leadership, as it counts for writes */
struct order_lead platform_lead (const struct control *c);

/** platform_leaving() - of struct proto_key_id; NULL without a platform */
const GArray *platform_leaving (const struct control *c);

/* load.c: what entries say of their work, on its way to the leader */
void load_init (struct control *c);
void load_finish (struct control *c);

/** load_take() - a load; @here: from the entry, not from another member */
void load_take (struct control *c, const struct proto_load *m, bool here);
void load_tick (struct control *c, uint64_t now_ms);

/** load_rebase() - count from here on */
void load_rebase (struct control *c);

/** load_look() - requests since the last look
 *
 * Return: whether every entry of @inv was heard lately.
 */
bool load_look (struct control *c, const struct inv *inv, uint64_t now_ms,
		struct scale_look *out);

/** load_busy() - requests at a domain's engines */
uint32_t load_busy (const struct control *c, const char *domain,
		    uint64_t now_ms);

/** load_empty() - whether every entry of @inv said, with @revision or a later
 * one in force, that it has no request at @endpoint */
bool load_empty (const struct control *c, const struct inv *inv,
		 const char *endpoint, uint64_t revision);

/* scale.c: the elastic controller, in the leader */
void scale_init (struct control *c);
void scale_finish (struct control *c);
void scale_tick (struct control *c, uint64_t now_ms);
void scale_listed (struct control *c, const struct plat_instance *list,
		   uint32_t count);
void scale_noticed (struct control *c, const struct plat_notice *list,
		    uint32_t count);

/** scale_pace_ms() - between two looks, and between two words to the leader */
uint32_t scale_pace_ms (const struct inv *inv);
void scale_json (struct control *c, json_object *out);

/* admin_wait.c: requests answered later */

/** struct waiting - a request that waits for its answer */
struct waiting {
	struct control *c;
	h2o_req_t *req;       /* NULL once the caller is gone */
	struct waiting **own; /* in the request's memory */
	uint64_t asked_ms;
	uint64_t deadline_ms;
	uint64_t id;      /* of the member it is about */
	const char *note; /* said with the answer, or NULL */
	bool (*poll) (struct waiting *w, uint64_t now_ms);
};

struct waiting *waiting_new (struct control *c, h2o_req_t *req);

/** waiting_end() - free @w; the request to answer now, or NULL */
h2o_req_t *waiting_end (struct waiting *w);

/** waiting_poll() - call @poll each tick until it says false, having ended
 * @w */
void waiting_poll (struct waiting *w,
		   bool (*poll) (struct waiting *w, uint64_t now_ms));
void waiting_tick (struct control *c, uint64_t now_ms);

/* admin.c, admin_write.c, admin_show.c: operators, over HTTP */
bool admin_listen (struct control *c, struct err *e);
void admin_fail (struct control *c, h2o_req_t *req, const struct err *e);
bool admin_is_leader (struct control *c, h2o_req_t *req);
/* Answer when @cmd is committed, with @note where one is given. */
void admin_commit (struct control *c, h2o_req_t *req, enum sm_kind kind,
		   const struct msg_field *fields, const void *cmd,
		   const char *note);
void admin_apply (struct control *c, h2o_req_t *req);
void admin_change (struct control *c, h2o_req_t *req);
bool admin_object_named (h2o_req_t *req, enum inv_section *s, char *name,
			 size_t size, struct err *e);
void admin_object (struct control *c, h2o_req_t *req);
void admin_withdraw (struct control *c, h2o_req_t *req);
void admin_member_add (struct control *c, h2o_req_t *req);
void admin_member_remove (struct control *c, h2o_req_t *req);
void admin_member_promote (struct control *c, h2o_req_t *req);
void admin_member_move (struct control *c, h2o_req_t *req);
void admin_order (struct control *c, h2o_req_t *req);
void admin_transfer (struct control *c, h2o_req_t *req);
void admin_status (struct control *c, h2o_req_t *req);
void admin_inventory (struct control *c, h2o_req_t *req);
void admin_acks (struct control *c, h2o_req_t *req);
void admin_keys (struct control *c, h2o_req_t *req);
void admin_orders (struct control *c, h2o_req_t *req);
void admin_windows (struct control *c, h2o_req_t *req);
void admin_scale (struct control *c, h2o_req_t *req);
void admin_safe_to_stop (struct control *c, h2o_req_t *req);

#endif
