/*
 * Documents: sets of objects with a digest that does not depend on the order
 * in which they came.  Objects are immutable and shared by the copies of a
 * document, with their typed form, so that a delta costs its own size.
 */
#include <json-c/json.h>
#include <sodium.h>
#include <string.h>

#include "inv_priv.h"

#define SETTINGS_NAME "settings"

static void
obj_hash (struct inv_obj *o)
{
	crypto_generichash_state h;
	uint8_t section = (uint8_t)o->section;

	crypto_generichash_init (&h, NULL, 0, sizeof o->hash);
	crypto_generichash_update (&h, &section, 1);
	/* The zero byte divides name from text. */
	crypto_generichash_update (&h, (const uint8_t *)o->name,
				   strlen (o->name) + 1);
	crypto_generichash_update (&h, (const uint8_t *)o->json,
				   strlen (o->json));
	crypto_generichash_final (&h, o->hash, sizeof o->hash);
}

void
inv_obj_unref (struct inv_obj *o)
{
	if (--o->refs > 0)
		return;
	set_release (inv_tables[o->section].rows, o->typed);
	g_free (o->typed);
	g_free (o->json);
	g_free (o);
}

struct inv_obj *
inv_obj_read (enum inv_section s, struct json_object *json, uint32_t line,
	      const char *path, GArray *problems)
{
	const struct inv_table *t = &inv_tables[s];
	struct inv_obj *o = g_new0 (struct inv_obj, 1);

	o->refs = 1;
	o->section = s;
	o->typed = g_malloc0 (t->size);
	set_read (t->rows, json, line, path, o->typed, problems);
	/* Every section's struct but the settings' starts with the name. */
	g_strlcpy (o->name, t->id != NULL ? o->typed : SETTINGS_NAME,
		   sizeof o->name);
	if (*o->name == '\0') {
		inv_obj_unref (o);
		return NULL;
	}
	o->json = set_print (t->rows, o->typed);
	obj_hash (o);
	return o;
}

static int
compare_names (const void *a, const void *b, void *data)
{
	(void)data;
	return strcmp (a, b);
}

static void
free_obj (void *o)
{
	inv_obj_unref (o);
}

void
inv_doc_init (struct inv_doc *d)
{
	memset (d, 0, sizeof *d);
	for (int s = 0; s < INV_SECTIONS; s++)
		d->objects[s] =
			g_tree_new_full (compare_names, NULL, NULL, free_obj);
}

void
inv_doc_finish (struct inv_doc *d)
{
	for (int s = 0; s < INV_SECTIONS; s++) {
		if (d->objects[s] != NULL)
			g_tree_unref (d->objects[s]);
	}
	memset (d, 0, sizeof *d);
}

static gboolean
copy_one (void *name, void *obj, void *tree)
{
	struct inv_obj *o = obj;

	o->refs++;
	g_tree_insert (tree, name, o);
	return FALSE;
}

void
inv_doc_copy (struct inv_doc *to, const struct inv_doc *from)
{
	inv_doc_init (to);
	for (int s = 0; s < INV_SECTIONS; s++)
		g_tree_foreach (from->objects[s], copy_one, to->objects[s]);
	memcpy (to->digest, from->digest, sizeof to->digest);
	to->bytes = from->bytes;
}

static void
mix_digest (struct inv_doc *d, const struct inv_obj *o)
{
	for (int i = 0; i < INV_DIGEST_BYTES; i++)
		d->digest[i] ^= o->hash[i];
}

static uint64_t
obj_bytes (const struct inv_obj *o)
{
	return strlen (o->name) + strlen (o->json);
}

static void
doc_remove (struct inv_doc *d, enum inv_section s, const char *name)
{
	struct inv_obj *old = inv_doc_find (d, s, name);

	if (old == NULL)
		return;
	mix_digest (d, old);
	d->bytes -= obj_bytes (old);
	g_tree_remove (d->objects[s], name);
}

void
inv_doc_put (struct inv_doc *d, struct inv_obj *o)
{
	doc_remove (d, o->section, o->name);
	mix_digest (d, o);
	d->bytes += obj_bytes (o);
	g_tree_insert (d->objects[o->section], o->name, o);
}

struct inv_obj *
inv_doc_find (const struct inv_doc *d, enum inv_section s, const char *name)
{
	return g_tree_lookup (d->objects[s], name);
}

const char *
inv_doc_get (const struct inv_doc *d, enum inv_section s, const char *name)
{
	const struct inv_obj *o = inv_doc_find (d, s, name);

	return o != NULL ? o->json : NULL;
}

uint32_t
inv_doc_count (const struct inv_doc *d, enum inv_section s)
{
	return (uint32_t)g_tree_nnodes (d->objects[s]);
}

struct diff {
	const struct inv_doc *other;
	GArray *changes;
};

static void
add_change (GArray *changes, const struct inv_obj *o, bool set)
{
	struct inv_change c = {.section = (uint8_t)o->section};

	memcpy (c.name, o->name, sizeof c.name);
	if (set) {
		c.json.data = (const uint8_t *)o->json;
		c.json.len = (uint32_t)strlen (o->json);
	}
	g_array_append_val (changes, c);
}

static gboolean
diff_removed (void *name, void *obj, void *ctx)
{
	const struct inv_obj *o = obj;
	struct diff *d = ctx;

	if (inv_doc_find (d->other, o->section, name) == NULL)
		add_change (d->changes, o, false);
	return FALSE;
}

static gboolean
diff_set (void *name, void *obj, void *ctx)
{
	const struct inv_obj *o = obj;
	struct diff *d = ctx;
	const struct inv_obj *was = inv_doc_find (d->other, o->section, name);

	if (was == NULL || strcmp (was->json, o->json) != 0)
		add_change (d->changes, o, true);
	return FALSE;
}

void
inv_doc_diff (const struct inv_doc *a, const struct inv_doc *b, GArray *changes)
{
	struct diff removed = {.other = b, .changes = changes};
	struct diff set = {.other = a, .changes = changes};

	for (int s = 0; s < INV_SECTIONS; s++) {
		g_tree_foreach (a->objects[s], diff_removed, &removed);
		g_tree_foreach (b->objects[s], diff_set, &set);
	}
}

/* The object that a change sets, or NULL. */
static struct inv_obj *
change_read (const struct inv_change *c, GArray *problems)
{
	const char *text = (const char *)c->json.data;
	char path[SET_PATH_BYTES];
	struct inv_obj *o = NULL;
	json_object *json;

	g_snprintf (path, sizeof path, "%s[%s]",
		    inv_section_name ((enum inv_section)c->section), c->name);
	json = set_json_parse (text, c->json.len, problems);
	if (json == NULL)
		return NULL;
	o = inv_obj_read ((enum inv_section)c->section, json, 1, path,
			  problems);
	json_object_put (json);
	if (o != NULL && strcmp (o->name, c->name) != 0)
		set_problem (problems, 1, path, "object is named %s", o->name);
	return o;
}

static bool
first_problem (const GArray *problems, struct err *e)
{
	const struct inv_problem *p;

	if (problems->len == 0)
		return true;
	p = &g_array_index (problems, struct inv_problem, 0);
	return err_set (e, ERR_SETTINGS, "%s: %s", p->path, p->what);
}

/* Reads every object first, so that a bad one leaves the document alone. */
static bool
read_changes (const struct inv_delta *delta, GPtrArray *objs, struct err *e)
{
	GArray *problems =
		g_array_new (FALSE, FALSE, sizeof (struct inv_problem));
	const struct inv_change *c = delta->changes.items;
	bool ok;

	for (uint32_t i = 0; i < delta->changes.count; i++, c++) {
		if (c->section >= INV_SECTIONS) {
			set_problem (problems, 1, "", "unknown section %u",
				     c->section);
			break;
		}
		g_ptr_array_add (objs, c->json.len == 0
					       ? NULL
					       : change_read (c, problems));
	}
	ok = first_problem (problems, e);
	g_array_unref (problems);
	return ok;
}

bool
inv_doc_apply (struct inv_doc *d, const struct inv_delta *delta, struct err *e)
{
	const struct inv_change *c = delta->changes.items;
	GPtrArray *objs = g_ptr_array_new ();
	bool ok = read_changes (delta, objs, e);

	for (guint i = 0; i < objs->len; i++, c++) {
		struct inv_obj *o = objs->pdata[i];

		if (!ok && o != NULL)
			inv_obj_unref (o);
		else if (ok && o != NULL)
			inv_doc_put (d, o);
		else if (ok)
			doc_remove (d, (enum inv_section)c->section, c->name);
	}
	g_ptr_array_unref (objs);
	return ok;
}
