/*
 * The operators' API: set and read the configuration, drain failure domains,
 * start and read rollouts.
 */
#include <arpa/inet.h>
#include <string.h>

#include "groupd.h"

/* Longest wait for the log: clients try another member after 1 s without an
 * answer. */
#define COMMIT_TIMEOUT_MS 900

#define BODY_MAX_BYTES GSTATE_PLAN_MAX_BYTES
#define HEADER_MAX_BYTES (16U << 10)
#define TIMEOUT_MS 10000
#define IDLE_MS 30000

/* Of a parsed configuration, see parsed_bytes().  One takes up to half of the
 * machine's memory. */
#define PARSED_LIST_BYTES 400
#define PARSED_VALUE_BYTES 100

/* Operators may fill a quarter of the machine's memory, and have a quarter of
 * the descriptors: the log and the links to relays need the most. */
#define CLIENTS_MEMORY_PART 4
#define CLIENTS_FDS_PART 4

/* A start request may arrive so much later than its sender's last one, by the
 * network and by clocks that differ. */
#define ROLLOUT_REPEAT_MARGIN_MS 2000

static void
answer (struct h1srv_conn *c, int status, const char *text)
{
	h1srv_answer (c, status, "Content-Type: application/json\r\n", text,
		      strlen (text));
}

static void
refuse (struct group *g, struct h1srv_conn *c, int status, const char *why)
{
	char *body = g_strdup_printf ("{\"error\":\"%s\"}\n", why);

	g->refusals++;
	log_event (LOG_LV_INFO, "api-refuse", "status=%d why=\"%s\"", status,
		   why);
	answer (c, status, body);
	g_free (body);
}

/* Redirects the client to the leader, with the path of its request. */
static void
redirect_to_leader (struct group *g, struct h1srv_conn *c,
		    const struct h1_head *h)
{
	const struct raft_member *m =
		raft_config_find (&g->raft.config, g->raft.leader);
	const char *colon = m != NULL ? strrchr (m->addr, ':') : NULL;
	char *headers;

	if (colon == NULL || m->id == g->id) {
		refuse (g, c, 503, "no leader");
		return;
	}
	headers = g_strdup_printf ("Location: http://%.*s:%u%.*s\r\n",
				   (int)(colon - m->addr), m->addr,
				   ntohs (g->api_addr.sin_port),
				   (int)h->path_len, h->path);
	h1srv_answer (c, 307, headers, "", 0);
	g_free (headers);
}

static void on_parsed (struct plan *p, const struct err *e, GBytes *text,
		       void *ctx);

static struct pending_call *
call_new (struct group *g, struct h1srv_conn *c, enum dia_api_call call)
{
	struct pending_call *w = g_new0 (struct pending_call, 1);

	w->g = g;
	w->conn = c;
	w->call = call;
	w->since_ms = tmr_now_ms ();
	planjob_init (&w->job, g->d.loop, g->dialect, on_parsed, w);
	h1srv_set_data (c, w);
	g_ptr_array_add (g->pending_calls, w);
	return w;
}

static void
call_free (void *p)
{
	struct pending_call *w = p;

	planjob_finish (&w->job);
	g_bytes_unref (w->text);
	if (w->g->parsing == w)
		w->g->parsing = NULL;
	g_free (w);
}

/* Removes a call; returns its connection, or NULL if the client is gone. */
static struct h1srv_conn *
call_end (struct pending_call *w)
{
	struct h1srv_conn *c = w->conn;

	if (c != NULL)
		h1srv_set_data (c, NULL);
	g_ptr_array_remove (w->g->pending_calls, w);
	return c;
}

static void
call_refuse (struct pending_call *w, int status, const char *why)
{
	struct group *g = w->g;
	struct h1srv_conn *c = call_end (w);

	if (c != NULL)
		refuse (g, c, status, why);
}

static void
wait_for (struct pending_call *w, uint64_t index, bool is_read)
{
	w->index = index;
	w->term = w->g->raft.term;
	w->since_ms = tmr_now_ms ();
	w->is_read = is_read;
	group_schedule_flush (w->g);
}

/* Proposes a command; the call is answered once it is applied. */
static void
propose (struct pending_call *w, enum gstate_kind kind, const void *cmd)
{
	msgpack_sbuffer buf;
	uint64_t index;
	struct err e = {0};

	msgpack_sbuffer_init (&buf);
	gstate_encode (kind, cmd, &buf);
	if (raft_propose (&w->g->raft, buf.data, buf.size, &index, &e))
		wait_for (w, index, false);
	else
		call_refuse (w, 503, e.msg);
	msgpack_sbuffer_destroy (&buf);
}

static void
on_parsed (struct plan *p, const struct err *e, GBytes *text, void *ctx)
{
	struct pending_call *w = ctx;
	gsize len;
	const uint8_t *data = g_bytes_get_data (text, &len);
	struct gstate_plan cmd = {.text = {data, (uint32_t)len}};

	if (w->g->parsing == w)
		w->g->parsing = NULL;
	if (p == NULL) {
		call_refuse (w, 400, e->msg);
		return;
	}
	cmd.version = p->version;
	plan_unref (p);
	log_event (LOG_LV_INFO, "config-propose",
		   "version=%" G_GUINT64_FORMAT " current=%" G_GUINT64_FORMAT
		   " bytes=%u parsed_ms=%" G_GUINT64_FORMAT,
		   cmd.version, w->g->state.version, (unsigned)len,
		   tmr_now_ms () - w->since_ms);
	propose (w, GSTATE_PLAN, &cmd);
}

static void
release_body (void *body)
{
	g_byte_array_unref (body);
}

/* About the memory that a text takes once it is parsed, from its marks: an
 * object or an array takes up to 400 bytes, another value up to 100. */
static uint64_t
parsed_bytes (const GByteArray *text)
{
	uint64_t sum = 0;

	for (guint i = 0; i < text->len; i++) {
		if (text->data[i] == '[' || text->data[i] == '{')
			sum += PARSED_LIST_BYTES;
		else if (text->data[i] == ',')
			sum += PARSED_VALUE_BYTES;
	}
	return sum;
}

static void
parse (struct pending_call *w, GBytes *text)
{
	if (g_bytes_get_size (text) > PLANJOB_AT_ONCE_BYTES)
		w->g->parsing = w;
	planjob_start (&w->job, text);
}

/* Large texts are parsed one after another, since a parsed one takes several
 * times the memory of its text. */
static void
put_plan (struct group *g, struct h1srv_conn *c, GByteArray *body)
{
	struct pending_call *w;
	GBytes *text;

	if (parsed_bytes (body) > g->quota.max_bytes * 2) {
		refuse (g, c, 413, "too many values");
		return;
	}
	w = call_new (g, c, DIA_CONFIG_PUT);
	text = g_bytes_new_with_free_func (body->data, body->len, release_body,
					   g_byte_array_ref (body));
	if (body->len > PLANJOB_AT_ONCE_BYTES && g->parsing != NULL)
		w->text = g_bytes_ref (text);
	else
		parse (w, text);
	g_bytes_unref (text);
}

/* Parses the large text that has waited longest, if none is being parsed. */
static void
parse_next (struct group *g)
{
	struct pending_call *oldest = NULL;
	GBytes *text;

	if (g->parsing != NULL)
		return;
	for (guint i = 0; i < g->pending_calls->len; i++) {
		struct pending_call *w =
			g_ptr_array_index (g->pending_calls, i);

		if (w->text != NULL &&
		    (oldest == NULL || w->since_ms < oldest->since_ms))
			oldest = w;
	}
	if (oldest == NULL)
		return;
	text = oldest->text;
	oldest->text = NULL;
	parse (oldest, text);
	g_bytes_unref (text);
}

static void
put_drain (struct group *g, struct h1srv_conn *c, const char *domain,
	   bool drained)
{
	struct gstate_drain cmd = {.drained = drained};

	g_strlcpy (cmd.domain, domain, sizeof cmd.domain);
	log_event (LOG_LV_INFO, "drain-propose", "domain=%s drained=%d", domain,
		   drained);
	propose (call_new (g, c, DIA_DRAIN), GSTATE_DRAIN, &cmd);
}

/* An unknown service is refused for good, so the call waits for a quorum's word
 * that this member is the leader, and for the configuration to be parsed. */
static void
start_rollout (struct group *g, struct h1srv_conn *c, const GByteArray *body)
{
	struct pending_call *w;
	struct dia_rollout r;
	struct err e = {0};

	if (!g->dialect->parse_rollout ((const char *)body->data, body->len, &r,
					&e)) {
		refuse (g, c, 400, e.msg);
		return;
	}
	w = call_new (g, c, DIA_ROLLOUT_START);
	w->rollout = r;
	wait_for (w, g->raft.commit, true);
}

static void
get_rollout (struct group *g, struct h1srv_conn *c, const char *service)
{
	struct pending_call *w = call_new (g, c, DIA_ROLLOUT_GET);

	g_strlcpy (w->rollout.service, service, sizeof w->rollout.service);
	wait_for (w, g->raft.commit, true);
}

static void
rollout_command (const struct group *g, const struct pending_call *w,
		 struct gstate_rollout_start *cmd)
{
	*cmd = (struct gstate_rollout_start){
		.duration_ms = w->rollout.duration_ms,
		.wall_ms = tmr_wall_ms (),
		.repeat_ms = g->set.ack_ms + ROLLOUT_REPEAT_MARGIN_MS};
	g_strlcpy (cmd->service, w->rollout.service, sizeof cmd->service);
	g_strlcpy (cmd->target, w->rollout.target, sizeof cmd->target);
}

/* A start request whose read is ready; false where it must wait for the
 * configuration to be parsed. */
static bool
propose_rollout (struct pending_call *w)
{
	struct gstate_rollout_start cmd;
	bool known, served = group_serves (w->g, w->rollout.service, &known);

	if (w->g->state.text != NULL && !known)
		return false;
	if (w->g->state.text == NULL) {
		call_refuse (w, 503, "no configuration yet");
	} else if (!served) {
		call_refuse (w, 400, "unknown service");
	} else {
		rollout_command (w->g, w, &cmd);
		log_event (
			LOG_LV_INFO, "rollout-propose",
			"service=%s target=%s duration_ms=%" G_GUINT64_FORMAT,
			cmd.service, cmd.target, cmd.duration_ms);
		propose (w, GSTATE_ROLLOUT_START, &cmd);
	}
	return true;
}

/* Whether the applied state has the rollout that the call asked for, as its own
 * or as that of an earlier request. */
static bool
rollout_accepted (struct group *g, const struct pending_call *w)
{
	const struct rollout *r =
		gstate_rollout (&g->state, w->rollout.service);
	struct gstate_rollout_start cmd;

	rollout_command (g, w, &cmd);
	return r != NULL && gstate_rollout_accepts (r, &cmd);
}

static void
answer_rollout (struct group *g, struct h1srv_conn *c, const char *service)
{
	const struct rollout *r = gstate_rollout (&g->state, service);
	GString *text;

	if (r == NULL) {
		refuse (g, c, 404, "no rollout of the service");
		return;
	}
	text = g_string_new (NULL);
	g->dialect->format_rollout (r, text);
	answer (c, 200, text->str);
	g_string_free (text, TRUE);
}

static void
on_request (struct h1srv_conn *c, const struct h1_head *h, GByteArray *body,
	    void *ctx)
{
	struct group *g = ctx;
	char name[GSTATE_NAME_BYTES];
	enum dia_api_call call =
		g->dialect->match_api_call (h, name, sizeof name);
	bool is_rollout = call == DIA_ROLLOUT_START || call == DIA_ROLLOUT_GET;

	if (call == DIA_OTHER || call == DIA_READY ||
	    (is_rollout && !group_has_rollouts (g)))
		refuse (g, c, 404, "no such call");
	else if (g->raft.role != RAFT_LEADER)
		redirect_to_leader (g, c, h);
	else if (call == DIA_CONFIG_PUT)
		put_plan (g, c, body);
	else if (call == DIA_CONFIG_GET)
		wait_for (call_new (g, c, call), g->raft.commit, true);
	else if (call == DIA_ROLLOUT_START)
		start_rollout (g, c, body);
	else if (call == DIA_ROLLOUT_GET)
		get_rollout (g, c, name);
	else
		put_drain (g, c, name, call == DIA_DRAIN);
}

static void
on_disconnect (struct h1srv_conn *c, void *ctx)
{
	struct pending_call *w = h1srv_data (c);

	(void)ctx;
	if (w != NULL)
		w->conn = NULL;
}

static const struct h1srv_ops api_ops = {
	.request = on_request,
	.gone = on_disconnect,
};

static void
print_metric (GString *out, const char *name, uint64_t value)
{
	g_string_append_printf (out, "dh_group_%s %" G_GUINT64_FORMAT "\n",
				name, value);
}

static void
on_metrics (struct h1srv_conn *c, const struct h1_head *h, GByteArray *body,
	    void *ctx)
{
	struct group *g = ctx;
	GString *out = g_string_new (NULL);

	(void)h;
	(void)body;
	print_metric (out, "acknowledged_total", g->acks);
	print_metric (out, "refused_total", g->refusals);
	print_metric (out, "lists_total", g->lists);
	print_metric (out, "list_errors_total", g->list_errors);
	print_metric (out, "log_lines_dropped_total", log_dropped ());
	print_metric (out, "elections_won_total", g->raft.elections);
	print_metric (out, "leads", group_is_leader (g));
	print_metric (out, "term", g->raft.term);
	print_metric (out, "commit_index", g->raft.commit);
	print_metric (out, "out_of_touch_total", g->watch.lost);
	print_metric (out, "out_of_touch_ms",
		      g->watch.out_since_ms != 0 ? g->watch.out_ms : 0);
	print_metric (out, "voters", raft_config_voters (&g->raft.config));
	print_metric (out, "copies_needed", raft_copies_needed (&g->raft));
	print_metric (out, "version", g->state.version);
	print_metric (out, "sealed_window", g->state.sealed_window);
	print_metric (out, "storage_down", g->storage_down);
	quota_print (&g->quota, "dh_group", out);
	group_rollout_print (g, out);
	frame_print_sent ("dh_group_sent_bytes_total", g->sent_bytes, out);
	h1srv_answer (c, 200, "Content-Type: text/plain\r\n", out->str,
		      out->len);
	g_string_free (out, TRUE);
}

static void
on_metrics_disconnect (struct h1srv_conn *c, void *ctx)
{
	(void)c;
	(void)ctx;
}

static const struct h1srv_ops metrics_ops = {on_metrics, on_metrics_disconnect};

bool
api_init (struct group *g, struct err *e)
{
	struct sockaddr_in at;

	static const struct h1srv_limits limits = {
		HEADER_MAX_BYTES, BODY_MAX_BYTES, TIMEOUT_MS, IDLE_MS};

	g->pending_calls = g_ptr_array_new_with_free_func (call_free);
	quota_init (&g->quota, g->set.memory_mb, g->set.max_fds,
		    CLIENTS_MEMORY_PART, CLIENTS_FDS_PART);
	if (!h1srv_init (&g->api, g->d.loop, &g->api_addr, &limits, &api_ops, g,
			 e))
		return false;
	g->api.quota = &g->quota;
	if (g->set.metrics[0] == '\0')
		return true;
	if (!link_addr_parse (g->set.metrics, &at, e) ||
	    !h1srv_init (&g->metrics, g->d.loop, &at, &limits, &metrics_ops, g,
			 e))
		return false;
	g->metrics.quota = &g->quota;
	g->metrics.is_reserved = true;
	return true;
}

static void
answer_plan (struct group *g, struct h1srv_conn *c)
{
	gsize len = 0;
	const void *text = g->state.text != NULL
				   ? g_bytes_get_data (g->state.text, &len)
				   : NULL;

	if (text == NULL)
		refuse (g, c, 503, "no configuration yet");
	else
		h1srv_answer (c, 200, "Content-Type: application/json\r\n",
			      text, len);
}

/* Few voters may be a majority while the group is still growing, but not enough
 * disks for an acknowledgement. */
static bool
is_held (const struct group *g, const struct pending_call *w)
{
	return group_is_leader (g) && g->raft.term == w->term &&
	       raft_copies (&g->raft, w->index) >=
		       raft_copies_needed (&g->raft);
}

static void
acknowledge (struct pending_call *w)
{
	struct group *g = w->g;
	uint64_t index = w->index, since_ms = w->since_ms;
	struct h1srv_conn *c = call_end (w);

	if (c == NULL)
		return;
	g->acks++;
	log_event (LOG_LV_INFO, "acknowledge",
		   "index=%" G_GUINT64_FORMAT " waited_ms=%" G_GUINT64_FORMAT
		   " copies=%u voters=%u",
		   index, tmr_now_ms () - since_ms,
		   raft_copies (&g->raft, index),
		   raft_config_voters (&g->raft.config));
	answer (c, 200, "{}\n");
}

void
api_entry_applied (struct group *g, const struct raft_entry *entry)
{
	for (guint i = g->pending_calls->len; i > 0; i--) {
		struct pending_call *w =
			g_ptr_array_index (g->pending_calls, i - 1);

		if (w->is_read || w->index != entry->index)
			continue;
		if (w->term != entry->term)
			call_refuse (w, 503,
				     "another leader replaced the log entry");
		else if (w->call == DIA_ROLLOUT_START &&
			 !rollout_accepted (g, w))
			call_refuse (w, 409,
				     "another rollout of the service runs");
		else if (is_held (g, w))
			acknowledge (w);
		else
			w->applied = true;
	}
}

void
api_refuse_all (struct group *g, const char *why)
{
	while (g->pending_calls->len > 0) {
		struct pending_call *w =
			g_ptr_array_index (g->pending_calls, 0);

		call_refuse (w, 503, why);
	}
}

void
api_tick (struct group *g, uint64_t now_ms)
{
	for (guint i = g->pending_calls->len; i > 0; i--) {
		struct pending_call *w =
			g_ptr_array_index (g->pending_calls, i - 1);
		char service[PLAN_NAME_BYTES];
		struct h1srv_conn *c;
		bool is_get;
		bool ready =
			w->is_read && raft_read_ready (&g->raft, w->index,
						       w->since_ms, now_ms);

		if (w->applied && is_held (g, w)) {
			acknowledge (w);
			continue;
		}
		if (ready && w->conn != NULL && w->call == DIA_ROLLOUT_START) {
			if (propose_rollout (w))
				continue;
			ready = false;
		}
		if (w->conn != NULL && !ready &&
		    (w->text != NULL || planjob_is_active (&w->job) ||
		     now_ms - w->since_ms < COMMIT_TIMEOUT_MS))
			continue;
		is_get = w->call == DIA_ROLLOUT_GET;
		g_strlcpy (service, w->rollout.service, sizeof service);
		c = call_end (w);
		if (c != NULL && ready && is_get)
			answer_rollout (g, c, service);
		else if (c != NULL && ready)
			answer_plan (g, c);
		else if (c != NULL)
			refuse (g, c, 503, "not confirmed by a majority yet");
	}
	parse_next (g);
}
