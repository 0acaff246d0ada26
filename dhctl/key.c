/*
 * grant and withdraw: keys.  A key is printed once and never stored; the
 * inventory holds its keyed hash.
 */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "dhctl.h"
#include "frame.h"
#include "tmr.h"

#define KEY_RANDOM_BYTES 24
#define KEY_TEXT_BYTES (3 + 2 * KEY_RANDOM_BYTES + 1)
#define KEY_ID_RANDOM_BYTES 6

/* Makes a key, and the inventory's object for it. */
static bool
make_key (struct ctl *c, const char *account, char key[KEY_TEXT_BYTES],
	  char id[INV_NAME_BYTES], char *json, size_t json_size, struct err *e)
{
	uint8_t cluster_key[FRAME_KEY_BYTES], bytes[KEY_RANDOM_BYTES];
	uint8_t hash[INV_KEY_HASH_BYTES];
	char hex[2 * INV_KEY_HASH_BYTES + 1];

	if (*c->set.cluster_key_file == '\0')
		return err_set (e, ERR_SETTINGS,
				"no cluster key file: give -k "
				"or a settings file with -f");
	if (!set_secret_load (c->set.cluster_key_file, cluster_key,
			      sizeof cluster_key, e))
		return false;
	g_strlcpy (key, "dh-", KEY_TEXT_BYTES);
	randombytes_buf (bytes, sizeof bytes);
	sodium_bin2hex (key + 3, KEY_TEXT_BYTES - 3, bytes, sizeof bytes);
	inv_key_hash (cluster_key, key, strlen (key), hash);
	sodium_memzero (cluster_key, sizeof cluster_key);
	sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
	g_strlcpy (id, "k-", INV_NAME_BYTES);
	randombytes_buf (bytes, KEY_ID_RANDOM_BYTES);
	sodium_bin2hex (id + 2, INV_NAME_BYTES - 2, bytes, KEY_ID_RANDOM_BYTES);
	g_snprintf (json, json_size,
		    "{\"id\":\"%s\",\"account\":\"%s\",\"hash\":\"%s\"}", id,
		    account, hex);
	sodium_memzero (bytes, sizeof bytes);
	return true;
}

static char *
new_key (json_object *object, void *ctx, struct err *e)
{
	(void)object;
	(void)e;
	return g_strdup (ctx);
}

int
ctl_grant (struct ctl *c)
{
	char key[KEY_TEXT_BYTES], id[INV_NAME_BYTES], json[512];
	uint64_t revision;
	struct err e;

	if (strlen (c->args[0]) >= INV_NAME_BYTES) {
		err_set (&e, ERR_SETTINGS, "account: name is too long");
		return ctl_fail (&e);
	}
	if (!make_key (c, c->args[0], key, id, json, sizeof json, &e) ||
	    !ctl_change (c, INV_KEYS, id, new_key, json, &revision, &e))
		return ctl_fail (&e);
	printf ("id %s\nkey %s\nrevision %" G_GUINT64_FORMAT "\n", id, key,
		revision);
	sodium_memzero (key, sizeof key);
	return c->wait ? ctl_wait (c, revision) : CTL_OK;
}

/* Names of the instances that hold a withdrawal. */
struct withdrawal {
	char path[128];
	GHashTable *confirmed;
	bool logged;       /* control has committed it, */
	uint64_t revision; /* in this revision */
};

static void
confirm_all (struct withdrawal *w, json_object *names)
{
	if (!json_object_is_type (names, json_type_array))
		return;
	for (size_t i = 0; i < json_object_array_length (names); i++)
		g_hash_table_add (
			w->confirmed,
			g_strdup (json_object_get_string (
				json_object_array_get_idx (names, i))));
}

static const char *
why_not (const struct ctl_reply *r)
{
	const char *kind = ctl_str (ctl_sub (r->json, "error"), "kind");

	return r->status == 0 ? "no answer" : *kind ? kind : "refused";
}

/* The name of the instance at an address, or the address. */
static char *
instance_name (struct ctl *c, const char *addr)
{
	struct ctl_reply r;
	struct err e;
	char *name;

	(void)ctl_fetch (c, addr, "GET", "/v1/status", NULL, &r, &e);
	name = g_strdup (*ctl_str (r.json, "name") ? ctl_str (r.json, "name")
						   : addr);
	ctl_reply_finish (&r);
	return name;
}

/* Tells one instance; control answers once a quorum holds it. */
static bool
tell (struct ctl *c, struct withdrawal *w, const char *addr, bool control)
{
	struct ctl_reply r;
	struct err e;
	bool ok = ctl_fetch (c, addr, "POST", w->path, "", &r, &e) &&
		  r.status == 200;

	if (ok && control) {
		w->logged = true;
		w->revision = MAX (w->revision, ctl_u64 (r.json, "revision"));
	} else if (ok) {
		g_hash_table_add (w->confirmed, instance_name (c, addr));
	}
	printf ("%s %s%s\n", addr,
		ok ? "took it" : "did not take it: ", ok ? "" : why_not (&r));
	ctl_reply_finish (&r);
	return ok;
}

/* Entries that the inventory lists and that have not confirmed. */
static guint
count_missing (const struct inv_doc *d, const struct withdrawal *w, bool print)
{
	struct inv inv;
	guint n = 0;

	if (!inv_build (&inv, d, 0, NULL, NULL))
		return 0;
	for (uint32_t i = 0; i < inv.entry_count; i++) {
		const char *name = inv.entries[i].name;

		if (g_hash_table_contains (w->confirmed, name))
			continue;
		n++;
		if (print)
			printf ("not confirmed: %s\n", name);
	}
	inv_finish (&inv);
	return n;
}

/* What control has heard from entries since. */
static void
ask_control (struct ctl *c, struct withdrawal *w)
{
	char path[64];
	struct ctl_reply r;
	struct err e;

	if (!w->logged)
		return;
	g_snprintf (path, sizeof path,
		    "/v1/acknowledgements?revision=%" G_GUINT64_FORMAT,
		    w->revision);
	if (ctl_get (c, path, &r, &e))
		confirm_all (w, ctl_sub (r.json, "confirmed"));
	ctl_reply_finish (&r);
}

/* Asks control, and the entries again, until all confirmed or time is out. */
static guint
gather (struct ctl *c, struct withdrawal *w, const struct inv_doc *d)
{
	uint64_t end = tmr_now_ms () + c->timeout_ms;

	while (count_missing (d, w, false) > 0 && tmr_now_ms () < end) {
		ask_control (c, w);
		ctl_pause (c);
	}
	return count_missing (d, w, true);
}

/*
 * Without a quorum the withdrawal is not logged yet, but every instance that
 * took it refuses the key, and passes it on.
 */
static guint
tell_all (struct ctl *c, struct withdrawal *w)
{
	guint told = 0;

	for (guint i = 0; i < c->set.entries->len; i++)
		told += tell (c, w, c->set.entries->pdata[i], false);
	for (guint i = 0; i < c->set.control->len; i++)
		told += tell (c, w, c->set.control->pdata[i], true);
	return told;
}

/* The leader may be one whose listener was not given. */
static void
tell_leader (struct ctl *c, struct withdrawal *w)
{
	struct ctl_reply r;
	struct err e;

	if (ctl_leader (c, "POST", w->path, "", &r, &e)) {
		w->logged = true;
		w->revision = ctl_u64 (r.json, "revision");
	}
	ctl_reply_finish (&r);
}

static bool
is_key_id (const char *id)
{
	return *id != '\0' && strlen (id) < INV_NAME_BYTES &&
	       strspn (id, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXY"
			   "Z0123456789-_.") == strlen (id);
}

int
ctl_withdraw (struct ctl *c)
{
	struct withdrawal w = {.logged = false};
	struct ctl_inventory now;
	guint missing;
	struct err e;

	if (!is_key_id (c->args[0])) {
		err_set (&e, ERR_SETTINGS, "%s: not a key id", c->args[0]);
		return ctl_fail (&e);
	}
	g_snprintf (w.path, sizeof w.path, "/v1/withdraw?key=%s", c->args[0]);
	w.confirmed =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	if (tell_all (c, &w) == 0) {
		g_hash_table_unref (w.confirmed);
		err_set (&e, ERR_IO, "no instance took the withdrawal");
		return ctl_fail (&e);
	}
	if (!w.logged)
		tell_leader (c, &w);
	if (!w.logged)
		printf ("not logged yet: no quorum answered; run it again\n");
	if (ctl_inventory_get (c, &now, &e)) {
		missing = gather (c, &w, &now.doc);
		inv_doc_finish (&now.doc);
	} else {
		printf ("the list of entries is not known: %s\n", e.msg);
		missing = 1;
	}
	g_hash_table_unref (w.confirmed);
	if (missing == 0 && w.logged) {
		printf ("withdrawn everywhere\n");
		return CTL_OK;
	}
	return CTL_INCOMPLETE;
}
