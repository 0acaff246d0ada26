#ifndef DH_ENTRYD_H
#define DH_ENTRYD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <h2o.h>

#include "adm.h"
#include "bb.h"
#include "chat.h"
#include "daemon.h"
#include "err.h"
#include "hist.h"
#include "httpc.h"
#include "httpd.h"
#include "inv.h"
#include "keyflood.h"
#include "lease.h"
#include "link.h"
#include "membudp.h"
#include "part.h"
#include "proto.h"
#include "retry.h"
#include "route.h"
#include "set_daemons.h"
#include "sm.h"
#include "sse.h"
#include "susp.h"
#include "tmr.h"
#include "usage.h"

/*
 * An entry instance.  The decisions are the library's; what stands here
 * carries them out: callers by h2o, endpoints by httpc, peers and control
 * members by links.
 */

#define REQ_ID_BYTES 33

struct entry;

/** enum req_state - where a request stands */
enum req_state {
	REQ_NEW,
	REQ_QUEUED,
	REQ_CLAIMING, /* waits for the idempotency record */
	REQ_SENT,     /* at an endpoint */
	REQ_OVER,
};

/** struct req - one caller's request */
struct req {
	struct entry *e;
	struct adm_req node;
	h2o_req_t *caller; /* NULL once the caller is gone */
	h2o_generator_t gen;
	enum req_state state;
	char id[REQ_ID_BYTES];
	char path[512];
	char key_id[INV_NAME_BYTES]; /* "" on open routes */
	char account[INV_NAME_BYTES];
	char key_text[256]; /* to keep it out of what is forwarded */
	char *body;
	size_t body_len;
	struct chat chat;
	struct route_req place;
	struct route_rules rules;
	struct retry_req retry;
	enum inv_route_kind kind;
	uint8_t fingerprint[SUSP_ID_BYTES];
	bool alone;
	bool refused; /* as a suspected crash cause */
	uint32_t attempts;
	uint64_t resume_from; /* tokens relayed, where a stream goes on */
	uint64_t total_deadline_ms;
	/* idempotency record */
	char idem_key[SM_ID_BYTES * 2];
	uint64_t claim_attempt; /* names this request's claim */
	bool claimed;
	/* attempt */
	struct httpc *exchange;
	struct target *target;
	struct target *waits_for; /* among its @waiting */
	struct err failed;        /* what its caller is told afterwards */
	struct lease_slot slot;
	double load_at_dispatch;
	char domain[INV_NAME_BYTES]; /* of the endpoint used last */
	bool cheap;                  /* it is reclaimable */
	uint64_t sent_us, first_us, last_us;
	int status;
	char type[INV_NAME_BYTES];
	bool framed; /* the answer has a length or chunks */
	struct sse sse;
	bool sse_made;
	/* answer */
	GString *out;    /* waits for the caller */
	size_t length;   /* that an answer to HEAD states, or SIZE_MAX */
	GString *flight; /* being written to the caller */
	bool begun;      /* the answer's head went to the caller */
	bool sending;
	bool paused;
	bool ended; /* nothing more comes from the endpoint */
	bool cut;   /* ended, but not whole */
	uint64_t arrived_us;
	bool final;       /* the answer's last piece was handed to h2o */
	bool any_sent;    /* a byte may have reached an endpoint */
	bool answered;    /* the endpoint's answer came whole */
	bool stored;      /* the answer is one of an earlier call */
	bool counted;     /* among its class's requests */
	GList *link;      /* place in e->reqs */
	struct req **tie; /* in the caller's pool, or &no_tie */
	struct req *no_tie;
};

/** struct target - an endpoint as this entry talks to it */
struct target {
	struct entry *e;
	struct bb_ep *ep;
	char addr[INV_NAME_BYTES];
	struct httpc_peer peer;
	uint32_t exchanges; /* that use @peer */
	struct httpc *poll;
	uint64_t polled_ms;
	uint64_t heard_ms; /* last byte from it, or start of work */
	uint32_t silent;   /* polls in a row without any answer */
	uint32_t resets;   /* polls in a row that were reset, when in doubt */
	GArray *lost_ids;  /* fingerprints in flight when it broke */
	uint32_t lost_in_flight;
	GPtrArray *waiting; /* requests to be sent again, once it is known
			       whether it died */
	bool gone;          /* replaced, or its endpoint left the inventory */
};

/** struct class_stats - what this entry served of one class */
struct class_stats {
	uint64_t requests, whole, cut, refused, cancelled;
	uint64_t attained; /* whole, and within both targets */
	uint64_t tokens, wasted_tokens;
	uint64_t retries;
	struct hist ttft_us, itl_us, added_us;
};

/** struct share_stats - what a client account or a domain had of the work */
struct share_stats {
	uint64_t requests; /* answered or refused */
	uint64_t whole;
	uint64_t tokens;       /* in whole answers */
	uint64_t cheap_tokens; /* of them, from reclaimable endpoints */
	uint64_t attained;     /* whole, and within both targets */
	double cost; /* of a domain's endpoints, an even share of it: see
			stat_cost() */
};

/** struct peer - another entry instance */
struct peer {
	struct entry *e;
	struct bb_peer *bb;
	char name[INV_NAME_BYTES];
	char addr[INV_NAME_BYTES];
	struct link *link;
	bool ours; /* we connect it */
	uint64_t incarnation;
	uint64_t revision;
};

typedef void (*command_cb) (const struct err *e, const struct sm_reply *r,
			    void *ctx);

/** struct entry - the whole instance */
struct entry {
	struct set_entryd set;
	const char *file;
	struct daemon d;
	struct link_self self;
	uint64_t sent_bytes[FRAME_KINDS];
	char admin_token[128];
	struct httpd callers, admin;
	struct quota quota;
	struct link_server *server;
	GRand *rand;
	/* configuration */
	struct inv_doc doc;
	struct inv *inv; /* NULL before the first update */
	struct inv *inv_old;
	uint64_t revision;
	uint64_t confirmed_ms;   /* control last said what is in force */
	struct inv_doc next_doc; /* an update of several parts */
	bool next_open;
	struct keyflood keys; /* withdrawn */
	GHashTable *untold;   /* withdrawn ids that control has not named */
	uint64_t told_ms;     /* when control was told of them last */
	GHashTable *key_ids;  /* granted by @inv, whose memory they are */
	/* decisions */
	struct bb bb;
	struct adm adm;
	struct route route;
	struct retry retry;
	struct susp susp;
	struct lease lease;
	struct part part;
	bool lease_due;    /* a peer's message may want an answer */
	uint64_t lease_ms; /* when the leases were looked at last */
	/* work */
	GList *reqs;
	uint32_t running;
	GHashTable *targets; /* endpoint name to struct target */
	GPtrArray *old_targets;
	bool working;
	bool work_again;
	bool work_stalled;   /* a credit ran out between choice and use */
	GPtrArray *outcomes; /* of struct outcome: not yet committed */
	/* peers */
	GHashTable *peers; /* name to struct peer */
	struct membudp *members;
	uint64_t digest_ms; /* when a digest of @keys went out last */
	/* control */
	struct link *control;
	uint32_t control_ix;
	uint64_t control_heard_ms;
	GHashTable *commands; /* id to struct command */
	uint64_t command_id;
	uint64_t claim_attempt; /* the latest one given out */
	bool control_turn;      /* turn to the next member */
	bool resync; /* a digest differed: ask for the whole document */
	uint64_t pulled_ms;
	/* usage */
	struct usage usage;
	struct usage_store usage_store; /* of peers */
	const struct link *usage_link;  /* that it was last mirrored on */
	/* figures */
	GHashTable *stats;    /* class name to struct class_stats */
	GHashTable *accounts; /* name to struct share_stats */
	GHashTable *domains;  /* the same, where endpoints stand */
	uint64_t cost_ms;     /* when costs were added up last */
	uint64_t asked;       /* as in struct proto_load */
	uint64_t attained;
	uint64_t errors[ERR_KINDS];
	uint64_t chunks;
	uint64_t bytes_gone; /* sent on links that ended */
	/* end */
	bool leaving;
	uint64_t leave_ms;
	uint64_t flush_ms; /* waits for control to take the usage */
	bool listener_closed;
	uint64_t second;
	struct tmr tick, fast_tick;
};

/* front.c: requests as they come in */
int front_request (h2o_req_t *h, void *ctx);
void front_fail (struct req *r, const struct err *e, uint32_t retry_after_ms);
void front_refuse (struct entry *e, h2o_req_t *h, const struct err *err);
bool front_caller_gone (struct req *r);

/* req.c: the life of a request */
struct req *req_new (struct entry *e, h2o_req_t *h);
void req_over (struct req *r);
void req_queue (struct req *r);
void req_run (struct req *r);

/* claim.c: idempotency records */
void claim_ask (struct req *r);
void claim_outcome (struct req *r, void (*then) (struct req *r));
void claim_tick (struct entry *e, uint64_t now_ms);
void claim_finish (struct entry *e);

/* work.c: taking requests from the queue */
void work_wake (struct entry *e);
void work_expire (struct entry *e);
void work_dark (struct entry *e, uint64_t now_ms);
void work_pressure (struct entry *e, uint64_t now_ms);

/* back.c: exchanges with endpoints */
void back_send (struct req *r, struct target *t);
void back_cancel (struct req *r);
void back_reset (struct req *r);
void back_timeouts (struct entry *e);
void back_hung (struct target *t);

/* answer.c: what goes to the caller */
void answer_begin (struct req *r);
void answer_push (struct req *r);
void answer_whole (struct req *r);

/* target.c: endpoints */
struct target *target_get (struct entry *e, struct bb_ep *ep);
void target_ejected (struct entry *e, struct bb_ep *ep, uint64_t now_ms);
void target_remap (struct entry *e);
void target_tick (struct entry *e, uint64_t now_ms);
void target_own (struct entry *e);
void target_broke (struct target *t);
bool target_checked (struct target *t, struct req *r);
void target_forget (struct req *r);
void target_sweep (struct entry *e);
void target_leaving (struct entry *e, const struct proto_key_id *names,
		     uint32_t count);
void target_finish (struct entry *e);

/* conf.c: the inventory, and commands to control */
void conf_init (struct entry *e);
void conf_tick (struct entry *e, uint64_t now_ms);
void conf_on_update (struct entry *e, struct link *l,
		     const struct proto_update *u, bool from_control);
void conf_command (struct entry *e, uint8_t kind,
		   const struct msg_field *fields, const void *cmd,
		   uint32_t timeout_ms, command_cb cb, void *ctx);
void conf_command_packed (struct entry *e, uint8_t kind, const void *data,
			  size_t len, uint32_t timeout_ms, command_cb cb,
			  void *ctx);
void conf_finish (struct entry *e);

/* key.c: who a caller is, and withdrawn keys */
const struct inv_key *key_check (struct entry *e, const char *text, size_t len,
				 struct err *err);
bool key_valid (struct entry *e, const char *key_id);
void key_remap (struct entry *e);
void key_withdraw (struct entry *e, const char *key_id);
void key_init (struct entry *e);
void key_tell_control (struct entry *e, uint64_t now_ms);

/* credit.c: leases, between entries */
union credit_message {
	struct lease_beat beat;
	struct lease_ask ask;
	struct lease_grant grant;
};
extern const struct lease_ops credit_lease_ops;
void credit_take (struct entry *e, struct peer *p, struct link *l, uint8_t kind,
		  union credit_message *m);

/* peer.c: other entries */
bool peer_init (struct entry *e, struct err *err);
void peer_remap (struct entry *e);
void peer_tick (struct entry *e, uint64_t now_ms);
void peer_tell_strikes (struct entry *e, uint64_t now_ms);
bool peer_pull (struct entry *e);
void peer_flood (struct entry *e, uint8_t kind, const struct msg_field *fields,
		 const void *msg, const char *except);
void peer_send_to (struct entry *e, const char *name, uint8_t kind,
		   const struct msg_field *fields, const void *msg);
uint64_t peer_bytes_sent (struct entry *e);
void peer_finish (struct entry *e);

/* parts.c: parts of client accounts' limits */
void parts_init (struct entry *e, uint64_t now_ms);
void parts_print (struct entry *e, GString *s);

/* member.c: which entries live */
bool member_init (struct entry *e, struct err *err);
void member_remap (struct entry *e);
void member_listed (struct entry *e, struct bb_peer *peer, bool leaving);

/* admin.c: operators */
int admin_request (h2o_req_t *h, void *ctx);

/* stat.c: figures */
struct class_stats *stat_class (struct entry *e, const char *name);
void stat_done (struct req *r, bool whole);
void stat_refused (struct req *r, enum err_kind kind);
void stat_taken (struct req *r);
void stat_cost (struct entry *e, uint64_t now_ms);
void stat_print (struct entry *e, GString *out);
void stat_json (struct entry *e, GString *out);

/* usage.c: what client accounts used */
void usage_answered (struct req *r, bool whole);
void usage_refused (struct req *r);
void usage_tick (struct entry *e, uint64_t now_ms);
void usage_take (struct entry *e, struct link *l, const void *body, size_t len);
void usage_link_change (struct entry *e, const struct link *l);

/* leave.c: the graceful end */
void leave_begin (struct entry *e);
void leave_tick (struct entry *e, uint64_t now_ms);

#endif
