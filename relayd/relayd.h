#ifndef DH_RELAYD_H
#define DH_RELAYD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <h2o.h>

#include "blame.h"
#include "failover.h"
#include "daemon.h"
#include "dialect.h"
#include "dispatch.h"
#include "eplist.h"
#include "evstream.h"
#include "fleet.h"
#include "fleet_speed.h"
#include "gmsg.h"
#include "h1cli.h"
#include "h1srv.h"
#include "hist.h"
#include "waitq.h"
#include "link.h"
#include "loads.h"
#include "place.h"
#include "plan.h"
#include "planfetch.h"
#include "planjob.h"
#include "set_daemons.h"
#include "rbudget.h"
#include "rollout.h"
#include "rollout_share.h"
#include "seeds.h"
#include "stopplan.h"
#include "tmr.h"
#include "wincount.h"

/*
 * A relay: an instance that accepts opaque requests from clients and forwards
 * them to endpoints, by the configuration and the list of endpoints that it
 * gets from its group.  The library makes the decisions (which endpoint,
 * whether to retry, how long to wait); the files here carry them out.
 */

struct relay;

/**
 * struct call - one client request
 * @client: connection of the client, NULL once it disconnected
 * @req: what the request headers say, but for the texts in them
 * @id: the request's id, "" where it has none
 * @plan: configuration that the request was admitted under
 * @service: service that was picked for it
 * @account: name of the client account in @plan, "" on open routes
 * @tier: priority, 0 is the most urgent
 * @request_line: method and path
 * @headers: header lines that are forwarded to an endpoint
 * @is_head: the method is HEAD
 * @deadline_ms: by when the answer has to be on its way to the client
 * @wait: its entry in the queue of waiting requests, see waitq.h
 * @last_failure_ms: when an attempt failed last; 0: none did
 * @queue_link: its link in relay.waiting; NULL: it isn't waiting
 *
 * @tried: endpoints of failed attempts
 * @attempts: endpoints that received the request
 * @maybe_run: attempts that may have run at their endpoint
 * @ep: endpoint of the current attempt, or NULL
 * @exchange: HTTP exchange of the current attempt, or NULL
 * @sent_ms: when the current attempt started
 * @kv_from: address of the engine to copy the KV cache from, or ""
 * @backup_id: engine that keeps a copy of the run, or ""
 * @continues: the current attempt continues the run from that copy
 * @confirm_until_ms: until when the end of its engine has to be confirmed
 * @usage_counted: it is counted in a usage window
 * @prefill_counted: its prefill is included in relay.prefill_total_ms
 * @prefill_tokens: prompt tokens that this attempt has to prefill
 * @prefill_ms: predicted prefill time at the engine's usual speed
 * @prefill_waited: its prefill waited for others, or for a copy
 * @waiting_rank: rank under which it is counted in relay.own_waiting
 * @waiting_tokens: tokens that are counted there
 * @first_byte_seen: the endpoint's answer began
 * @answer_begun: a whole event, or a whole successful answer, arrived from it
 * @request_key: blame_request_key() of the request; 0: not yet computed
 * @sent_new: it was sent to the target version of a rollout
 * @rollout_counted: its first attempt was counted for rollouts
 * @rollout_answered: the outcome of the attempt was
 *
 * @status: status of the endpoint's answer; 0: none, or one that can't be used
 * @answer_headers: header lines of the endpoint's answer
 * @answer_body: its body, or the piece of a stream that is being forwarded
 * @held_bytes: bytes of the answer that are held back
 * @unusable_bytes: bytes of the body of an answer that can't be used
 * @is_stream: the body is forwarded as it arrives
 * @headers_sent: response headers were sent to the client
 * @evstream: server-sent events of the answer
 * @paused: reading from the endpoint is paused, as the client reads slowly
 * @first_byte_ms: when the first byte was sent to the client; 0: not yet
 * @last_piece_ms: when a piece of a stream was last sent to it; 0: not yet
 * @max_gap_ms: longest time between two pieces
 */
struct call {
	struct relay *r;
	struct h1srv_conn *client;
	struct dia_request req;
	char *id;
	struct plan *plan;
	const struct plan_route *route;
	struct plan_service *service;
	const char *account;
	uint32_t tier;
	GString *request_line;
	GString *headers;
	GByteArray *body;
	bool is_head;
	uint64_t arrived_ms;
	uint64_t deadline_ms;
	struct waitq_entry wait;
	uint64_t last_failure_ms;
	GList *queue_link;
	/* attempts */
	struct fleet_ep *tried[PLACE_TRIED_MAX];
	uint32_t tried_count;
	uint32_t attempts, maybe_run;
	struct fleet_ep *ep;
	struct h1cli *exchange;
	uint64_t sent_ms;
	char kv_from[FLEET_ADDR_BYTES];
	char backup_id[FLEET_NAME_BYTES];
	bool continues;
	uint64_t confirm_until_ms;
	bool usage_counted;
	bool prefill_counted;
	double prefill_tokens;
	double prefill_ms;
	bool prefill_waited;
	uint32_t waiting_rank;
	uint32_t waiting_tokens;
	bool first_byte_seen;
	bool answer_begun;
	bool is_blame_trial;
	uint64_t request_key;
	bool sent_new, rollout_counted, rollout_answered;
	/* answer */
	int status;
	struct dia_response answer;
	GString *answer_headers;
	GString *answer_body;
	size_t held_bytes;
	size_t unusable_bytes;
	bool is_stream;
	bool headers_sent;
	struct evstream evstream;
	bool paused;
	uint64_t first_byte_ms;
	uint64_t last_piece_ms;
	uint64_t max_gap_ms;
};

/**
 * struct upstream - connections and health checks of an endpoint
 * @host: its connections
 * @probe: the running health check, or NULL
 * @probe_started_ms: when the last health check started
 * @probe_answer: headers of its answer
 * @probe_status: status of its answer; 0: none
 * @broke_ms: when it broke an exchange that was evidence, see rollout.c
 */
struct upstream {
	struct relay *r;
	struct fleet_ep *ep;
	struct h1cli_host host;
	struct h1cli *probe;
	uint64_t probe_started_ms;
	struct dia_response probe_answer;
	int probe_status;
	uint64_t broke_ms;
};

/**
 * struct group_member - a member of the group, as its messages describe it
 * @last_named_ms: when the settings or a member named its address last
 * @hears_leader: it is the leader, or hears from it
 * @is_load_target: this relay reports its loads to it, see
 *loads_choose_member()
 * @config_version: version of its configuration
 * @list_digest: digest of its endpoint list; 0: it has none
 * @list_read_ms: when its endpoint list was read, by this relay's clock
 * @clock_offset_ms: its wall clock less this relay's monotonic clock; 0:
 *	unknown
 * @relay_count: relays that are linked to it
 * @usage_sent_change: up to which change usage was sent, see wincount_report()
 * @usage_sent_ms: when usage was sent last
 * @rollout_sent_change: rollout_share.change_seq up to which evidence was sent
 */
struct group_member {
	struct relay *r;
	char addr[RAFT_NAME_BYTES];
	struct link *link;
	uint64_t last_named_ms;
	bool hears_leader, is_leader;
	bool is_load_target;
	uint64_t config_version;
	uint64_t list_digest;
	uint64_t list_read_ms;
	int64_t clock_offset_ms;
	uint32_t relay_count;
	uint64_t usage_sent_change;
	uint64_t usage_sent_ms;
	uint64_t rollout_sent_change;
};

/**
 * struct config_news - newer configurations, and the transfer of one
 * @fetch: the transfer
 * @job: parses what was fetched
 * @job_version: version that it parses
 * @from: member that it came from
 * @behind_since_ms: when a member named a newer one first; 0: none did
 * @unusable_version: version whose text can't be parsed here
 * @requests: chunks that were requested
 * @wire_bytes: bytes of chunks and whole texts that arrived
 */
struct config_news {
	struct planfetch fetch;
	struct planjob job;
	uint64_t job_version;
	char from[RAFT_NAME_BYTES];
	uint64_t behind_since_ms;
	uint64_t unusable_version;
	uint64_t requests;
	uint64_t wire_bytes;
};

/**
 * struct relay_stats - counters since the start
 * @passed_on: unsuccessful answers of endpoints that were forwarded
 * @cut: answers that ended incomplete after their headers were sent
 * @client_gone: requests whose client disconnected
 * @retries: failed attempts that another attempt was to follow
 * @dropped: answers whose end was not awaited, as they can't be used
 * @barred: requests that were refused as they hold a barred key, see blame.h
 * @continued: streams that went on from a copy of their run
 * @connect_failed: attempts for which no connection was made
 * @first_byte_us: time from arrival to the first byte of the answer
 * @total_us: time from arrival to the end of the answer
 */
struct relay_stats {
	uint64_t requests, served, refused, failed, passed_on, cut, client_gone;
	uint64_t attempts, retries, dropped, barred, continued, connect_failed,
		probes;
	struct hist first_byte_us, total_us;
};

/**
 * struct relay - this instance
 * @set: settings
 * @self: how this relay introduces itself on links
 * @name_hash: hash of its name
 * @source_addr: local address of outgoing connections
 * @front: listener for client requests
 * @ready: listener for readiness checks
 * @metrics: listener for metrics
 * @plan: configuration in force; NULL before the first
 * @rbudget: retry budgets
 * @drain_index: log index of the drained failure domains in force
 * @list_read_ms: when the endpoint list in use was read; 0: there is none
 * @list_digest: digest of the endpoint list in use; 0: unknown
 * @members: of struct group_member *
 * @calls: of struct call *
 * @startup_queue: of struct startup_req *, see startup.c
 * @held_bytes: sum of call.held_bytes
 * @startup_bytes: sum of the bodies in @startup_queue
 * @waiting: calls that wait for an endpoint, the most urgent first
 * @dispatch: rate at which waiting requests are sent, where that is shared
 * @dispatch_logged_ms: when it was logged last
 * @own_waiting: by rank, prompt tokens that wait here for engines
 * @peer_waiting: the same at the peers
 * @relay_count: relays that share the endpoints
 * @config: what is known of newer configurations
 * @list_behind_since_ms: since when a member has a newer list; 0: none has
 * @list_source: member that the full list was requested of
 * @prefill_total_ms: prefill time requested of engines since the start
 * @unreported_segments: of struct load_segment, not yet reported
 * @unreported_speeds: of struct load_speed, not yet reported
 * @speeds_compared_ms: when fleet_compare_speeds() was called last
 * @load_changed: the load changed since the last report
 * @load_reported_ms: when loads were reported last
 * @subscribed_ms: when the subset of endpoints whose load this relay wants to
 *	know was reported last
 * @peer_loads_ms: when loads of peer relays arrived last; 0: they are unknown
 * @platform: connections to the platform's API
 * @list_reader: reads the endpoint list from the platform
 * @list_next_ms: earliest start of its next reading
 * @list_backoff_ms: additional delay after rate limited readings
 * @probe_check_ms: when endpoints were checked for due health checks last
 * @group_list_interval_ms: interval at which the group reads the list
 * @blame: requests and prompt segments that crash endpoints
 * @rollouts: the relay's part in rollouts
 * @rollout_reported_ms: when rollouts were reported last
 * @usage: requests by client account
 * @sealed_window: newest usage window that takes no more counts
 * @dispatch_timer: retries waiting calls, see call_place_waiting()
 * @leaving: SIGTERM was received
 * @leave_started_ms: when it was received
 * @stopplan: times of the planned stop
 * @sent_bytes: bytes sent on links, by frame kind
 */
struct relay {
	struct set_relayd set;
	const char *settings_file;
	struct seeds_watch watch;
	const struct dialect *dialect;
	struct daemon daemon;
	struct link_self self;
	uint32_t name_hash;
	struct in_addr source_addr;
	uint16_t peer_port;
	struct h1srv front, ready, metrics;
	struct quota quota;
	struct h1cli_pool pool; /* connections to endpoints */
	GRand *rand;
	struct plan *plan;
	struct fleet fleet;
	struct rbudget *rbudget;
	uint64_t drain_index;
	uint64_t list_read_ms;
	uint64_t list_digest;
	GPtrArray *members;
	GPtrArray *calls;
	GPtrArray *startup_queue;
	uint64_t startup_bytes;
	size_t held_bytes;
	GQueue waiting;
	struct dispatch dispatch;
	uint64_t dispatch_logged_ms;
	uint32_t own_waiting[LOADS_RANKS];
	uint32_t peer_waiting[LOADS_RANKS];
	uint32_t relay_count;
	uint64_t started_ms;
	struct config_news config;
	uint64_t list_behind_since_ms;
	struct source list_source;
	double prefill_total_ms;
	GArray *unreported_segments;
	GArray *unreported_speeds;
	uint64_t speeds_compared_ms;
	bool load_changed;
	uint64_t load_reported_ms;
	uint64_t subscribed_ms;
	uint64_t peer_loads_ms;
	/* the endpoint list, read from the platform by this relay */
	struct h1cli_host platform;
	struct eplist list_reader;
	uint64_t list_next_ms;
	uint64_t list_backoff_ms;
	uint64_t probe_check_ms;
	uint32_t group_list_interval_ms;
	struct blame blame;
	struct rollout_share rollouts;
	uint64_t rollout_reported_ms;
	/* usage */
	struct wincount usage;
	uint64_t sealed_window;
	struct tmr tick_timer, dispatch_timer;
	bool leaving;
	uint64_t leave_started_ms;
	struct stopplan stopplan;
	struct relay_stats stats;
	uint64_t sent_bytes[FRAME_KINDS];
};

/* main.c */

/** relay_is_configured() - whether it has a configuration and a list of
 * endpoints, which is enough to handle requests */
bool relay_is_configured (const struct relay *r);

/** relay_is_ready() - whether the load balancer may send requests */
bool relay_is_ready (const struct relay *r);

/** relay_wall_ms() - the time of day as most members have it, in ms since the
 * epoch; the local clock may be stepped */
uint64_t relay_wall_ms (const struct relay *r);

/* front.c: requests of clients, up to their admission */

/** front_init() - start all listeners; Return: false with @e set on errors */
bool front_init (struct relay *r, struct err *e);
void front_finish (struct relay *r);

/**
 * front_handle() - match route and key, then admit or refuse the request
 * @arrived_ms: when it arrived; its deadline counts from then
 */
void front_handle (struct relay *r, struct h1srv_conn *conn,
		   const struct h1_head *h, GByteArray *body,
		   uint64_t arrived_ms);

/**
 * front_refuse() - answer a request with an error
 * @id: the request's id, "" where it has none
 * @retry_after_ms: value of Retry-After; 0: no such header
 * @why: reason, for the body and the log
 */
void front_refuse (struct relay *r, struct h1srv_conn *c, const char *id,
		   int status, uint32_t retry_after_ms, const char *why);

/* startup.c: requests received before the first configuration */
void startup_init (struct relay *r);
void startup_finish (struct relay *r);

/** startup_add() - queue a request until the relay is configured; Return: false
 * where the queue is full or the client doesn't wait that long */
bool startup_add (struct relay *r, struct h1srv_conn *conn,
		  const struct h1_head *h, GByteArray *body);

/** startup_client_gone() - the client on @conn disconnected */
void startup_client_gone (struct relay *r, const struct h1srv_conn *conn);

/** startup_refuse_all() - refuse all queued requests */
void startup_refuse_all (struct relay *r);

/** startup_tick() - handle queued requests once configured, or out of time */
void startup_tick (struct relay *r, uint64_t now_ms);

/* stop.c: the planned stop, see stopplan.h */

/** stop_begin() - SIGTERM was received; a second one changes nothing */
void stop_begin (struct relay *r);

/** stop_admits() - whether to begin a request whose client waits for @limit_ms
 * at most; always unless the relay stops */
bool stop_admits (const struct relay *r, uint64_t limit_ms);

/** stop_retry_after_ms() - Retry-After of a request that isn't begun */
uint32_t stop_retry_after_ms (struct relay *r);
void stop_tick (struct relay *r, uint64_t now_ms);

/* call.c: admitted requests, from admission to the end of their answer */

/** call_admit() - start to place a new request */
void call_admit (struct call *c);

/** call_place() - start an attempt at an endpoint, or queue the request, or
 * refuse it */
void call_place (struct call *c);

/** call_client_gone() - the client disconnected; frees @c */
void call_client_gone (struct call *c);

/** call_attempt_failed() - the attempt ended without an answer for the client:
 * retry, or answer with what is known */
void call_attempt_failed (struct call *c);

/** call_fail() - answer with an error, see front_refuse(); frees @c */
void call_fail (struct call *c, int status, uint32_t retry_after_ms,
		const char *why);

/** call_close() - log the outcome, add it to the counters and free @c */
void call_close (struct call *c, const char *outcome);

/** call_release_ep() - cancel a running exchange, and subtract the request from
 * the load of its endpoint */
void call_release_ep (struct call *c);

/** call_place_waiting() - an endpoint may have capacity again: place waiting
 * requests once the current event is handled */
void call_place_waiting (struct relay *r);
void call_init (struct relay *r);

/** call_expire_all() - end all requests as if their time was up */
void call_expire_all (struct relay *r);
void call_tick (struct relay *r, uint64_t now_ms);

/* queue.c: requests that wait for an endpoint */

/** queue_add() - let the request wait; @v: why it isn't sent, or NULL */
void queue_add (struct call *c, const struct place_result *v);

/** queue_remove() - the request doesn't wait any more */
void queue_remove (struct call *c);

/** queue_move() - move a waiting request to the place of its new rank */
void queue_move (struct call *c);

/** queue_shares_room() - whether the relays send such requests at a common
 * rate; a stream under way goes on at once */
bool queue_shares_room (const struct call *c);

/** queue_allows() - whether the relay may send the request now, by that rate */
bool queue_allows (const struct call *c);

/** queue_waiting_tokens() - prefill that waits here, where room is shared */
uint64_t queue_waiting_tokens (const struct relay *r);

/** queue_place_all() - place waiting requests, the most urgent first
 * @ctx: the relay */
void queue_place_all (void *ctx);

/* attempt.c: HTTP exchanges with endpoints */

/** call_set_held() - the call now holds back @bytes of an answer */
void call_set_held (struct call *c, size_t bytes);

/** call_held_fits() - whether it may hold back as much */
bool call_held_fits (const struct call *c);

/** call_cut() - end the started answer so that the client sees it as truncated
 */
void call_cut (struct call *c, const char *outcome);

/** continue_start() - confirm that the call's engine has ended, then let the
 * stream go on from the copy of its run, or cut it */
void continue_start (struct call *c);

/** continue_tick() - cut the stream whose engine did not end in time */
void continue_tick (struct call *c, uint64_t now_ms);

/** attempt_is_repeatable() - whether the request may run more than once */
bool attempt_is_repeatable (const struct call *c);

/** attempt_start() - send the request to the endpoint that @v names */
void attempt_start (struct call *c, const struct place_result *v);

/* blame.c: requests that crash endpoints */
void relay_blame_init (struct relay *r);

/** blame_bars_call() - whether the request holds a barred key */
bool blame_bars_call (struct call *c);

/** blame_judge_call() - what becomes of the request, asked before each attempt;
 * BLAME_REFUSE: it was refused, and @c is freed */
enum blame_verdict blame_judge_call (struct call *c);

/** blame_want_trial() - ask for the right to send the request, which holds a
 * barred key */
void blame_want_trial (struct call *c);

/** blame_attempt_started() - the request is sent */
void blame_attempt_started (struct call *c);

/** blame_answer_begun() - an event, or a whole successful answer, arrived */
void blame_answer_begun (struct call *c);

/** blame_attempt_dropped() - the attempt is given up before its end */
void blame_attempt_dropped (struct call *c);

/** blame_attempt_ended() - the attempt is over; called while the endpoint is
 * still that of the call */
void blame_attempt_ended (struct call *c, enum h1cli_end end);

/** blame_domain_is_cut() - whether an endpoint of the domain of @ep is suspect
 * because all of them fell silent, so that its connections broke with a link */
bool blame_domain_is_cut (const struct relay *r, const struct fleet_ep *ep);

/** relay_blame_receive() - merge records that a member sent */
void relay_blame_receive (struct relay *r, const struct gmsg_blame *m);

/** relay_blame_send_all() - send the table to a member whose link is up */
void relay_blame_send_all (struct group_member *m);

/** relay_blame_tick() - send news to all members */
void relay_blame_tick (struct relay *r, uint64_t now_ms);

/* upstream.c: endpoints, and the list where no member provides it */
extern const struct fleet_ops upstream_fleet_ops;
void upstream_init (struct relay *r);
void upstream_finish (struct relay *r);
void upstream_tick (struct relay *r, uint64_t now_ms);

/* usage.c: usage of client accounts, reported to the group */
void usage_init (struct relay *r);
void usage_finish (struct relay *r);

/** usage_count() - count one request of @account in the current window */
void usage_count (struct relay *r, const char *account);
void usage_tick (struct relay *r, uint64_t now_ms);

/* metrics.c */

/** metrics_print() - append all metrics in the Prometheus text format */
void metrics_print (struct relay *r, GString *out);

#include "group.h"

#endif
