/*
 * Speaks to admin listeners, one exchange at a time.
 */
#include <sodium.h>
#include <string.h>

#include "dhctl.h"
#include "httpc.h"
#include "link.h"
#include "tmr.h"

#define EXCHANGE_MIN_MS 1000
#define EXCHANGE_MAX_MS 5000
#define PAUSE_MS 100
#define LOOP_WAIT_MS 100

bool
ctl_client_init (struct ctl *c, struct err *e)
{
	if (*c->set.admin_token_file == '\0')
		return err_set (e, ERR_SETTINGS,
				"no admin token file: give -t or a settings "
				"file with -f");
	if (!set_token_load (c->set.admin_token_file, c->token, sizeof c->token,
			     e))
		return false;
	c->loop = h2o_evloop_create ();
	c->peers =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	return true;
}

void
ctl_client_finish (struct ctl *c)
{
	GHashTableIter it;
	void *peer;

	sodium_memzero (c->token, sizeof c->token);
	if (c->peers == NULL)
		return;
	g_hash_table_iter_init (&it, c->peers);
	while (g_hash_table_iter_next (&it, NULL, &peer)) {
		httpc_peer_finish (peer);
		g_free (peer);
	}
	g_hash_table_unref (c->peers);
	c->peers = NULL;
}

void
ctl_reply_finish (struct ctl_reply *r)
{
	json_object_put (r->json);
	g_free (r->body);
	memset (r, 0, sizeof *r);
}

void
ctl_new_id (char id[CTL_ID_BYTES])
{
	uint8_t bytes[16];

	randombytes_buf (bytes, sizeof bytes);
	sodium_bin2hex (id, CTL_ID_BYTES, bytes, sizeof bytes);
}

static struct httpc_peer *
peer_get (struct ctl *c, const char *addr, struct err *e)
{
	struct httpc_peer *p = g_hash_table_lookup (c->peers, addr);
	struct sockaddr_in sa;

	if (p != NULL)
		return p;
	if (!link_addr_parse (addr, &sa, e))
		return NULL;
	p = g_new0 (struct httpc_peer, 1);
	httpc_peer_init (p, c->loop, &sa, EXCHANGE_MAX_MS);
	g_hash_table_insert (c->peers, g_strdup (addr), p);
	return p;
}

void
ctl_pause (struct ctl *c)
{
	uint64_t end = tmr_now_ms () + PAUSE_MS;

	for (uint64_t now = tmr_now_ms (); now < end; now = tmr_now_ms ())
		h2o_evloop_run (c->loop, (int32_t)(end - now));
}

struct exchange {
	struct ctl_reply *reply;
	struct err *e;
	bool over;
	bool ok;
};

static void
on_reply (const struct httpc_reply *got, const struct err *e, void *ctx)
{
	struct exchange *x = ctx;

	x->over = true;
	if (e != NULL) {
		err_set (x->e, ERR_IO, "%s: %s", x->reply->from, e->msg);
		return;
	}
	x->ok = true;
	x->reply->status = got->status;
	x->reply->body = g_strndup (got->body, got->len);
	x->reply->len = got->len;
	x->reply->json = json_tokener_parse (x->reply->body);
}

bool
ctl_fetch (struct ctl *c, const char *addr, const char *method,
	   const char *path, const char *body, struct ctl_reply *r,
	   struct err *e)
{
	struct httpc_peer *p = peer_get (c, addr, e);
	char bearer[CTL_TOKEN_BYTES + 8];
	struct httpc_header auth = {"authorization", 13, bearer, 0};
	struct httpc_req req = {
		.method = method,
		.path = path,
		.headers = &auth,
		.header_count = 1,
		.body = body,
		.body_len = body != NULL ? strlen (body) : 0,
		.timeout_ms =
			CLAMP (c->timeout_ms, EXCHANGE_MIN_MS, EXCHANGE_MAX_MS),
		.fresh = true,
	};
	struct exchange x = {.reply = r, .e = e};

	memset (r, 0, sizeof *r);
	g_strlcpy (r->from, addr, sizeof r->from);
	if (p == NULL)
		return false;
	auth.value_len = (size_t)g_snprintf (bearer, sizeof bearer, "Bearer %s",
					     c->token);
	httpc_fetch (p, &req, CTL_REPLY_MAX_BYTES, on_reply, &x);
	while (!x.over)
		h2o_evloop_run (c->loop, LOOP_WAIT_MS);
	sodium_memzero (bearer, sizeof bearer);
	return x.ok;
}

/* The refusal that an answer holds. */
static bool
refused (const struct ctl_reply *r, struct err *e)
{
	json_object *error = ctl_sub (r->json, "error");
	const char *kind = ctl_str (error, "kind");
	enum err_kind k = ERR_INTERNAL;

	for (int i = 0; i < ERR_KINDS; i++) {
		if (strcmp (err_name ((enum err_kind)i), kind) == 0)
			k = (enum err_kind)i;
	}
	if (*kind == '\0')
		return err_set (e, k, "%s: status %d", r->from, r->status);
	return err_set (e, k, "%s: %s: %s", r->from, kind,
			ctl_str (error, "message"));
}

/* Whether another member, or the same one later, may answer better. */
static bool
worth_retrying (const struct ctl_reply *r, const struct err *e)
{
	if (r->status == 0 || e->kind == ERR_OUTCOME_UNKNOWN)
		return true;
	return r->status == 503 && err_answer (e->kind)->retryable;
}

/* The leader's admin listener, as a refusal names it, or "". */
static const char *
leader_named (const struct ctl_reply *r)
{
	const char *addr = ctl_str (r->json, "leader_admin");

	return *addr ? addr
		     : ctl_str (ctl_sub (r->json, "error"), "leader_admin");
}

static bool
try_member (struct ctl *c, const char *addr, const char *method,
	    const char *path, const char *body, struct ctl_reply *r,
	    struct err *e)
{
	if (!ctl_fetch (c, addr, method, path, body, r, e))
		return false;
	return r->status == 200 || refused (r, e);
}

/* The member asked last may be gone; what another said tells more.  The kind
 * stays: a lost answer is not "not committed". */
static bool
say_quorum (const struct err *told, struct err *e)
{
	struct err last = *e;

	if (told->kind == ERR_NONE || last.kind == ERR_NO_QUORUM)
		return false;
	return err_set (e, last.kind, "%s; another: %s", last.msg, told->msg);
}

/*
 * Goes round the members; a refusal that names the leader chooses the next
 * one to ask.
 */
static bool
ask_leader (struct ctl *c, const char *method, const char *path,
	    const char *body, struct ctl_reply *r, struct err *e,
	    uint64_t timeout_ms)
{
	uint64_t end = tmr_now_ms () + timeout_ms;
	const GPtrArray *all = c->set.control;
	char named[SET_ADDR_BYTES] = "";
	struct err told = {.kind = ERR_NONE};

	for (guint i = 0;; i++) {
		const char *addr = all->pdata[i % all->len];

		if (try_member (c, *named ? named : addr, method, path, body, r,
				e))
			return true;
		if (e->kind == ERR_NO_QUORUM)
			told = *e;
		if (!worth_retrying (r, e) || tmr_now_ms () >= end)
			return say_quorum (&told, e);
		if (r->status == 0 && *named != '\0')
			*named = '\0';
		else
			g_strlcpy (named, leader_named (r), sizeof named);
		if (*named == '\0' && i % all->len == all->len - 1)
			ctl_pause (c);
		ctl_reply_finish (r);
	}
}

static bool
have_control (const struct ctl *c, struct err *e)
{
	if (c->set.control->len > 0)
		return true;
	return err_set (e, ERR_SETTINGS,
			"no control members: give -c or a "
			"settings file with -f");
}

bool
ctl_leader (struct ctl *c, const char *method, const char *path,
	    const char *body, struct ctl_reply *r, struct err *e)
{
	memset (r, 0, sizeof *r);
	return have_control (c, e) &&
	       ask_leader (c, method, path, body, r, e, c->timeout_ms);
}

/* Any member that answers knows who leads. */
static void
find_leader (struct ctl *c, char addr[SET_ADDR_BYTES], struct err *e)
{
	struct ctl_reply r;

	*addr = '\0';
	for (guint i = 0; i < c->set.control->len && *addr == '\0'; i++) {
		const char *member = c->set.control->pdata[i];

		if (try_member (c, member, "GET", "/v1/status", NULL, &r, e)) {
			const char *admin =
				ctl_str (ctl_sub (r.json, "leader"), "admin");

			g_strlcpy (addr, *admin ? admin : member,
				   SET_ADDR_BYTES);
		}
		ctl_reply_finish (&r);
	}
}

bool
ctl_get (struct ctl *c, const char *path, struct ctl_reply *r, struct err *e)
{
	char addr[SET_ADDR_BYTES];

	memset (r, 0, sizeof *r);
	if (!have_control (c, e))
		return false;
	find_leader (c, addr, e);
	if (*addr == '\0')
		return false;
	if (try_member (c, addr, "GET", path, NULL, r, e))
		return true;
	/* The leader may just have gone. */
	if (!worth_retrying (r, e))
		return false;
	ctl_reply_finish (r);
	return ask_leader (c, "GET", path, NULL, r, e, 0);
}
