/*
 * What operators read.
 */
#include <string.h>

#include <json-c/json.h>

#include "controld.h"

#define SAFE_TIMEOUT_MS 3000

static void
add_text (json_object *o, const char *name, const char *text)
{
	json_object_object_add (o, name, json_object_new_string (text));
}

static void
add_u64 (json_object *o, const char *name, uint64_t v)
{
	json_object_object_add (o, name, json_object_new_uint64 (v));
}

static void
add_bool (json_object *o, const char *name, bool v)
{
	json_object_object_add (o, name, json_object_new_boolean (v));
}

static void
add_id (json_object *o, const char *name, uint64_t id)
{
	char text[24];

	g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", id);
	add_text (o, name, text);
}

static void
answer (h2o_req_t *req, json_object *o)
{
	httpd_answer_json (req, 200, json_object_to_json_string (o));
	json_object_put (o);
}

static json_object *
leader_json (struct control *c)
{
	json_object *o = json_object_new_object ();
	struct peer *p = peer_by_id (c, c->raft.leader);

	if (c->raft.leader == c->id) {
		add_text (o, "name", c->set.name);
		add_text (o, "admin", c->admin_addr);
	} else {
		add_text (o, "name", p != NULL ? p->name : "");
		add_text (o, "admin", p != NULL ? p->admin : "");
	}
	return o;
}

static json_object *
members_json (struct control *c)
{
	json_object *all = json_object_new_array ();
	const struct raft *r = &c->raft;

	for (uint32_t i = 0; i < r->config.count; i++) {
		const struct raft_member *m = &r->config.members[i];
		const struct raft_peer *p = raft_peer (r, m->id);
		json_object *o = json_object_new_object ();

		add_id (o, "id", m->id);
		add_text (o, "name", m->name);
		add_text (o, "addr", m->addr);
		add_text (o, "domain", m->domain);
		add_bool (o, "voter", m->voter);
		add_u64 (o, "match",
			 m->id == r->id ? r->log.durable
			 : p != NULL    ? p->match
					: 0);
		json_object_array_add (all, o);
	}
	return all;
}

void
admin_status (struct control *c, h2o_req_t *req)
{
	json_object *o = json_object_new_object ();
	const struct raft *r = &c->raft;
	uint64_t now_ms = tmr_now_ms ();
	uint64_t lease = raft_lease_until (r);

	add_text (o, "name", c->set.name);
	add_id (o, "id", c->id);
	add_text (o, "domain", c->set.domain);
	add_text (o, "role", raft_role_name (r->role));
	add_u64 (o, "term", r->term);
	json_object_object_add (o, "leader", leader_json (c));
	add_u64 (o, "commit", r->commit);
	add_u64 (o, "applied", r->applied);
	add_u64 (o, "snapshot", r->snap_index);
	add_u64 (o, "revision", sm_revision (c->sm));
	add_u64 (o, "lease_ms", lease > now_ms ? lease - now_ms : 0);
	add_u64 (o, "elections", r->elections);
	json_object_object_add (o, "members", members_json (c));
	answer (req, o);
}

void
admin_inventory (struct control *c, h2o_req_t *req)
{
	char *text = inv_doc_print (sm_doc (c->sm));
	char revision[24];

	g_snprintf (revision, sizeof revision, "%" G_GUINT64_FORMAT,
		    sm_revision (c->sm));
	h2o_add_header_by_str (&req->pool, &req->res.headers,
			       H2O_STRLIT ("x-revision"), 0, NULL,
			       h2o_strdup (&req->pool, revision, SIZE_MAX).base,
			       strlen (revision));
	httpd_answer_json (req, 200, text);
	g_free (text);
}

/* One object with the revision it stands in; null where there is none. */
void
admin_object (struct control *c, h2o_req_t *req)
{
	char name[INV_NAME_BYTES];
	enum inv_section section = INV_SETTINGS;
	const char *text;
	char *json;
	struct err e;

	if (!admin_object_named (req, &section, name, sizeof name, &e)) {
		admin_fail (c, req, &e);
		return;
	}
	text = inv_doc_get (sm_doc (c->sm), section, name);
	json = g_strdup_printf (
		"{\"revision\":%" G_GUINT64_FORMAT ",\"object\":%s}\n",
		sm_revision (c->sm), text != NULL ? text : "null");
	httpd_answer_json (req, 200, json);
	g_free (json);
}

struct confirm_lists {
	struct control *c;
	uint64_t revision;
	json_object *confirmed;
	json_object *missing;
};

static gboolean
sort_entry (gpointer name, gpointer value, gpointer ctx)
{
	struct confirm_lists *l = ctx;
	const struct confirm *k = g_hash_table_lookup (l->c->confirms, name);
	bool has = k != NULL && k->revision >= l->revision;

	(void)value;
	json_object_array_add (has ? l->confirmed : l->missing,
			       json_object_new_string (name));
	return FALSE;
}

void
admin_acks (struct control *c, h2o_req_t *req)
{
	struct confirm_lists l = {.c = c};
	json_object *o;
	char text[24];
	struct err e;

	if (!httpd_query (req, "revision", text, sizeof text)) {
		err_set (&e, ERR_BAD_REQUEST, "revision is missing");
		admin_fail (c, req, &e);
		return;
	}
	l.revision = g_ascii_strtoull (text, NULL, 10);
	l.confirmed = json_object_new_array ();
	l.missing = json_object_new_array ();
	g_tree_foreach (sm_doc (c->sm)->objects[INV_ENTRIES], sort_entry, &l);
	o = json_object_new_object ();
	json_object_object_add (o, "confirmed", l.confirmed);
	json_object_object_add (o, "missing", l.missing);
	answer (req, o);
}

static gboolean
list_key (gpointer name, gpointer value, gpointer ctx)
{
	json_object *o = json_object_new_object ();

	(void)value;
	add_text (o, "id", name);
	add_text (o, "state", "granted");
	json_object_array_add (ctx, o);
	return FALSE;
}

void
admin_keys (struct control *c, h2o_req_t *req)
{
	json_object *all = json_object_new_array ();
	json_object *o = json_object_new_object ();
	GPtrArray *gone = g_ptr_array_new ();

	g_tree_foreach (sm_doc (c->sm)->objects[INV_KEYS], list_key, all);
	sm_withdrawn_list (c->sm, gone);
	for (guint i = 0; i < gone->len; i++) {
		json_object *k = json_object_new_object ();

		add_text (k, "id", g_ptr_array_index (gone, i));
		add_text (k, "state", "withdrawn");
		json_object_array_add (all, k);
	}
	g_ptr_array_free (gone, TRUE);
	json_object_object_add (o, "keys", all);
	answer (req, o);
}

void
admin_orders (struct control *c, h2o_req_t *req)
{
	static const char *const kinds[] = {"", "new", "release", "load",
					    "role"};
	static const char *const states[] = {"pending", "done", "refused"};
	json_object *all = json_object_new_array ();
	json_object *o = json_object_new_object ();
	GPtrArray *list = g_ptr_array_new ();

	sm_orders (c->sm, false, list);
	for (guint i = 0; i < list->len; i++) {
		const struct sm_order_rec *r = g_ptr_array_index (list, i);
		json_object *j = json_object_new_object ();

		add_text (j, "id", r->order.id);
		add_text (j, "kind",
			  kinds[MIN (r->order.kind, G_N_ELEMENTS (kinds) - 1)]);
		add_text (j, "endpoint", r->order.endpoint);
		add_text (j, "domain", r->order.domain);
		add_text (j, "model", r->order.model);
		add_u64 (j, "fence", r->fence);
		add_text (j, "state",
			  states[MIN (r->state, G_N_ELEMENTS (states) - 1)]);
		add_text (j, "made", r->made);
		add_text (j, "why", r->why);
		json_object_array_add (all, j);
	}
	g_ptr_array_free (list, TRUE);
	json_object_object_add (o, "orders", all);
	answer (req, o);
}

void
admin_windows (struct control *c, h2o_req_t *req)
{
	json_object *all = json_object_new_array ();
	json_object *o = json_object_new_object ();
	GPtrArray *list = g_ptr_array_new ();

	sm_windows (c->sm, list);
	for (guint i = 0; i < list->len; i++) {
		const struct sm_window *w = g_ptr_array_index (list, i);
		json_object *j = json_object_new_object ();

		add_u64 (j, "start_ms", w->window_ms);
		add_u64 (j, "length_ms", w->length_ms);
		add_text (j, "report_id", w->report_id);
		add_u64 (j, "sealed_ms", w->sealed_ms);
		add_bool (j, "reported", w->reported);
		add_u64 (j, "figures", w->figures.count);
		json_object_array_add (all, j);
	}
	g_ptr_array_free (list, TRUE);
	json_object_object_add (o, "windows", all);
	answer (req, o);
}

void
admin_scale (struct control *c, h2o_req_t *req)
{
	json_object *o = json_object_new_object ();

	if (!admin_is_leader (c, req)) {
		json_object_put (o);
		return;
	}
	scale_json (c, o);
	answer (req, o);
}

/* Whether the group keeps a quorum without this member. */
static bool
spare (struct control *c)
{
	uint32_t voters = raft_config_voters (&c->raft.config);
	struct raft_member *self = raft_config_find (&c->raft.config, c->id);
	uint32_t others = 0;

	if (self == NULL || !self->voter)
		return true;
	for (uint32_t i = 0; i < c->participant_count; i++)
		others += c->participants[i] != c->id;
	return others >= voters / 2 + 1;
}

/* Answers by what the leader found out after the question came: an older
 * finding may still count a member that was stopped just before. */
static bool
try_safe (struct waiting *w, uint64_t now_ms)
{
	struct control *c = w->c;
	bool fresh = c->participants_ms > w->asked_ms + CONTROL_STATUS_MS;
	bool safe = fresh && spare (c);
	json_object *o;
	h2o_req_t *req;

	if (!fresh && now_ms < w->deadline_ms)
		return true;
	req = waiting_end (w);
	if (req == NULL)
		return false;
	o = json_object_new_object ();
	add_bool (o, "safe", safe);
	add_text (o, "why",
		  safe    ? ""
		  : fresh ? "the group would lose its quorum"
			  : "no leader says who takes part");
	add_u64 (o, "voters", raft_config_voters (&c->raft.config));
	add_u64 (o, "participants", fresh ? c->participant_count : 0);
	answer (req, o);
	return false;
}

void
admin_safe_to_stop (struct control *c, h2o_req_t *req)
{
	struct waiting *w = waiting_new (c, req);

	w->deadline_ms = w->asked_ms + SAFE_TIMEOUT_MS;
	waiting_poll (w, try_safe);
}
