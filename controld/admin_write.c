/*
 * What operators change: the inventory, keys withdrawn, the group.  An answer
 * is given when the change is committed.
 */
#include <string.h>

#include <json-c/json.h>

#include "controld.h"

#define WRITE_TIMEOUT_MS 5000

static void
answer_revision (h2o_req_t *req, uint64_t revision, const char *note)
{
	char text[128];

	g_snprintf (text, sizeof text,
		    "{\"revision\":%" G_GUINT64_FORMAT "%s%s%s}", revision,
		    note != NULL ? ",\"note\":\"" : "",
		    note != NULL ? note : "", note != NULL ? "\"" : "");
	httpd_answer_json (req, 200, text);
}

static void
on_committed (const struct call_result *res, void *ctx)
{
	struct waiting *w = ctx;
	struct control *c = w->c;
	const char *note = w->note;
	h2o_req_t *req = waiting_end (w);
	struct err e;

	if (req == NULL)
		return;
	if (res->error != ERR_NONE) {
		err_set (&e, res->error,
			 res->error == ERR_OUTCOME_UNKNOWN
				 ? "no answer from a quorum in time; send "
				   "again under the same id"
				 : "not committed: no quorum in reach");
		admin_fail (c, req, &e);
	} else if (res->reply->kind != ERR_NONE) {
		err_set (&e, res->reply->kind, "%s", res->reply->why);
		admin_fail (c, req, &e);
	} else {
		answer_revision (req, res->reply->revision, note);
	}
}

void
admin_commit (struct control *c, h2o_req_t *req, enum sm_kind kind,
	      const struct msg_field *fields, const void *cmd, const char *note)
{
	struct waiting *w = waiting_new (c, req);
	msgpack_sbuffer buf;

	w->note = note;
	msgpack_sbuffer_init (&buf);
	msg_pack (fields, cmd, &buf);
	call_start (c, (uint8_t)kind, buf.data, buf.size, false,
		    WRITE_TIMEOUT_MS, on_committed, w);
	msgpack_sbuffer_destroy (&buf);
}

/* ---- the inventory ---- */

/*
 * Where the base is not what is in force, the empty change that is sent on
 * finds the first answer to its id, or a conflict.  That needs a leader that
 * has applied all that was committed before it: an older state would let the
 * empty change pass at the very revision that it names.
 */
static bool
may_compare (struct control *c, struct err *e)
{
	const struct raft *r = &c->raft;

	if (r->commit >= r->term_start && r->applied == r->commit)
		return true;
	return err_set (e, ERR_NO_QUORUM,
			"leader is not sure of its state yet");
}

/* What names a change: its base, its id, and who makes it. */
static bool
read_base (struct control *c, h2o_req_t *req, struct sm_config *cmd,
	   struct err *e)
{
	char base[24];
	char *end;

	if (!httpd_query (req, "base", base, sizeof base) ||
	    !httpd_query (req, "change", cmd->change_id, sizeof cmd->change_id))
		return err_set (e, ERR_BAD_REQUEST,
				"base or change is missing or too long");
	cmd->base_revision = g_ascii_strtoull (base, &end, 10);
	if (!g_ascii_isdigit (base[0]) || *end != '\0')
		return err_set (e, ERR_BAD_REQUEST, "base: not a number");
	(void)httpd_query (req, "who", cmd->who, sizeof cmd->who);
	cmd->wall_ms = tmr_wall_ms ();
	return may_compare (c, e);
}

static bool
read_change (struct control *c, h2o_req_t *req, struct sm_config *cmd,
	     struct inv_doc *doc, GArray *changes, struct err *e)
{
	if (!read_base (c, req, cmd, e) ||
	    !inv_doc_parse (doc, req->entity.base, req->entity.len, NULL, e))
		return false;
	if (cmd->base_revision == sm_revision (c->sm))
		inv_doc_diff (sm_doc (c->sm), doc, changes);
	cmd->delta.changes.items = changes->data;
	cmd->delta.changes.count = changes->len;
	return changes->len <= SM_CHANGE_MAX ||
	       err_set (e, ERR_TOO_LARGE, "%u objects in one change",
			changes->len);
}

bool
admin_object_named (h2o_req_t *req, enum inv_section *s, char *name,
		    size_t size, struct err *e)
{
	char section[INV_NAME_BYTES];

	if (!httpd_query (req, "section", section, sizeof section) ||
	    !httpd_query (req, "name", name, size))
		return err_set (e, ERR_BAD_REQUEST,
				"section or name is missing or too long");
	for (int i = 0; i < INV_SECTIONS; i++) {
		*s = (enum inv_section)i;
		if (strcmp (section, inv_section_name (*s)) == 0)
			return true;
	}
	return err_set (e, ERR_BAD_REQUEST, "no section is named %s", section);
}

/*
 * One object's new text, or its end where the body is empty: the whole
 * document need not be read for it.  The state machine checks it.
 */
void
admin_change (struct control *c, h2o_req_t *req)
{
	struct sm_config cmd = {0};
	struct inv_change change = {0};
	enum inv_section section = INV_SETTINGS;
	struct err e = {0};

	if (!admin_is_leader (c, req))
		return;
	if (!read_base (c, req, &cmd, &e) ||
	    !admin_object_named (req, &section, change.name, sizeof change.name,
				 &e)) {
		admin_fail (c, req, &e);
		return;
	}
	change.section = (uint8_t)section;
	change.json.data = (const uint8_t *)req->entity.base;
	change.json.len = (uint32_t)req->entity.len;
	cmd.delta.changes.items = &change;
	cmd.delta.changes.count = 1;
	log_event (LOG_LV_INFO, "change",
		   "change=%s base=%" G_GUINT64_FORMAT " section=%s name=%s",
		   cmd.change_id, cmd.base_revision, inv_section_name (section),
		   change.name);
	admin_commit (c, req, SM_CONFIG, sm_config_fields, &cmd, NULL);
}

void
admin_apply (struct control *c, h2o_req_t *req)
{
	struct sm_config cmd = {0};
	GArray *changes;
	struct inv_doc doc;
	struct err e = {0};

	if (!admin_is_leader (c, req))
		return;
	changes = g_array_new (FALSE, TRUE, sizeof (struct inv_change));
	inv_doc_init (&doc);
	if (read_change (c, req, &cmd, &doc, changes, &e)) {
		log_event (LOG_LV_INFO, "apply",
			   "change=%s base=%" G_GUINT64_FORMAT " objects=%u",
			   cmd.change_id, cmd.base_revision, changes->len);
		admin_commit (c, req, SM_CONFIG, sm_config_fields, &cmd, NULL);
	} else {
		admin_fail (c, req, &e);
	}
	inv_doc_finish (&doc);
	g_array_free (changes, TRUE);
}

static bool
is_key_id (const char *id)
{
	for (const char *p = id; *p != '\0'; p++) {
		if (!g_ascii_isalnum (*p) && strchr ("-_.", *p) == NULL)
			return false;
	}
	return *id != '\0';
}

/* Any member takes a withdrawal: the entries hear of it before a quorum.  An
 * id never granted is taken, too, since a withdrawal holds for ever. */
void
admin_withdraw (struct control *c, h2o_req_t *req)
{
	struct sm_withdraw cmd = {.wall_ms = tmr_wall_ms ()};
	struct err e;
	bool granted;

	if (!httpd_query (req, "key", cmd.key_id, sizeof cmd.key_id)) {
		err_set (&e, ERR_BAD_REQUEST, "key is missing or too long");
		admin_fail (c, req, &e);
		return;
	}
	if (!is_key_id (cmd.key_id)) {
		err_set (&e, ERR_BAD_REQUEST, "key: not a key id");
		admin_fail (c, req, &e);
		return;
	}
	granted = sm_withdrawn (c->sm, cmd.key_id) ||
		  inv_doc_get (sm_doc (c->sm), INV_KEYS, cmd.key_id) != NULL;
	conf_withdraw (c, cmd.key_id, CONTROL_WITHDRAW_MS);
	admin_commit (c, req, SM_KEY_WITHDRAW, sm_withdraw_fields, &cmd,
		      granted ? NULL : "never granted");
}

/* ---- the group ---- */

static bool
read_id (h2o_req_t *req, uint64_t *id, struct err *e)
{
	char text[24];
	char *end;

	if (!httpd_query (req, "id", text, sizeof text))
		return err_set (e, ERR_BAD_REQUEST, "id is missing");
	*id = g_ascii_strtoull (text, &end, 16);
	if (*id == 0 || *end != '\0')
		return err_set (e, ERR_BAD_REQUEST, "id: not a member id");
	return true;
}

/* Answer when the configuration just appended is committed. */
static void
await_config (struct control *c, h2o_req_t *req, const char *what, uint64_t id)
{
	log_event (LOG_LV_INFO, "member",
		   "change=%s id=%016" G_GINT64_MODIFIER "x", what, id);
	peer_remap (c);
	call_await (c, c->raft.config_index, WRITE_TIMEOUT_MS, on_committed,
		    waiting_new (c, req));
}

void
admin_member_add (struct control *c, h2o_req_t *req)
{
	struct raft_member m = {0};
	struct sockaddr_in sa;
	struct err e = {0};

	if (!admin_is_leader (c, req))
		return;
	if (!read_id (req, &m.id, &e))
		;
	else if (!httpd_query (req, "name", m.name, sizeof m.name) ||
		 !httpd_query (req, "addr", m.addr, sizeof m.addr) ||
		 !httpd_query (req, "domain", m.domain, sizeof m.domain))
		err_set (&e, ERR_BAD_REQUEST, "name, addr or domain missing");
	else if (link_addr_parse (m.addr, &sa, &e) &&
		 raft_add (&c->raft, &m, &e)) {
		await_config (c, req, "add", m.id);
		return;
	}
	admin_fail (c, req, &e);
}

void
admin_member_remove (struct control *c, h2o_req_t *req)
{
	uint64_t id = 0;
	struct err e;

	if (!admin_is_leader (c, req))
		return;
	if (read_id (req, &id, &e) && raft_remove (&c->raft, id, &e))
		await_config (c, req, "remove", id);
	else
		admin_fail (c, req, &e);
}

void
admin_member_move (struct control *c, h2o_req_t *req)
{
	char addr[SET_ADDR_BYTES];
	struct sockaddr_in sa;
	uint64_t id = 0;
	struct err e;

	if (!admin_is_leader (c, req))
		return;
	if (!httpd_query (req, "addr", addr, sizeof addr)) {
		err_set (&e, ERR_BAD_REQUEST, "addr is missing");
		admin_fail (c, req, &e);
	} else if (read_id (req, &id, &e) && link_addr_parse (addr, &sa, &e) &&
		   raft_set_addr (&c->raft, id, addr, &e)) {
		await_config (c, req, "move", id);
	} else {
		admin_fail (c, req, &e);
	}
}

static bool
try_promote (struct waiting *w, uint64_t now_ms)
{
	struct control *c = w->c;
	uint64_t id = w->id;
	h2o_req_t *req;
	struct err e;

	if (raft_promote (&c->raft, id, &e)) {
		req = waiting_end (w);
		if (req != NULL)
			await_config (c, req, "promote", id);
		return false;
	}
	if (e.kind == ERR_CONFLICT && now_ms < w->deadline_ms)
		return true;
	req = waiting_end (w);
	if (req != NULL)
		admin_fail (c, req, &e);
	return false;
}

/* A learner of a busy group is always a little behind: try again for a while
 * before refusing. */
void
admin_member_promote (struct control *c, h2o_req_t *req)
{
	struct waiting *w;
	uint64_t id = 0;
	struct err e;

	if (!admin_is_leader (c, req))
		return;
	if (!read_id (req, &id, &e)) {
		admin_fail (c, req, &e);
		return;
	}
	w = waiting_new (c, req);
	w->id = id;
	w->deadline_ms = tmr_now_ms () + WRITE_TIMEOUT_MS;
	waiting_poll (w, try_promote);
}

void
admin_transfer (struct control *c, h2o_req_t *req)
{
	struct err e;

	if (!admin_is_leader (c, req))
		return;
	if (raft_transfer (&c->raft, 0, &e))
		httpd_answer_json (req, 200, "{\"transfer\":true}");
	else
		admin_fail (c, req, &e);
}

static bool
order_kind (const char *word, uint8_t *kind)
{
	static const struct {
		const char *word;
		enum sm_order_kind kind;
	} kinds[] = {
		{"order", SM_ORDER_NEW},
		{"release", SM_ORDER_RELEASE},
		{"load", SM_ORDER_LOAD},
		{"role", SM_ORDER_ROLE},
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (kinds); i++) {
		if (strcmp (word, kinds[i].word) != 0)
			continue;
		*kind = (uint8_t)kinds[i].kind;
		return true;
	}
	return false;
}

/*
 * An operator's own order.  Its id is the operator's, so that a resend after a
 * lost answer is the same order.
 */
void
admin_order (struct control *c, h2o_req_t *req)
{
	struct sm_order o = {.wall_ms = tmr_wall_ms ()};
	char kind[16];
	struct err e;

	if (!httpd_query (req, "id", o.id, sizeof o.id) ||
	    !httpd_query (req, "kind", kind, sizeof kind) ||
	    !order_kind (kind, &o.kind)) {
		err_set (&e, ERR_BAD_REQUEST,
			 "id or kind (order, release, load, role) is missing");
		admin_fail (c, req, &e);
		return;
	}
	httpd_query (req, "endpoint", o.endpoint, sizeof o.endpoint);
	httpd_query (req, "domain", o.domain, sizeof o.domain);
	httpd_query (req, "model", o.model, sizeof o.model);
	httpd_query (req, "role", o.role, sizeof o.role);
	admin_commit (c, req, SM_ORDER, sm_order_fields, &o, NULL);
}
