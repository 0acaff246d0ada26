/*
 * Reads a scenario file.  Each kind of object has one table of its members;
 * an unknown name, a wrong type or a value out of range is an error.
 */
#include <stdio.h>
#include <string.h>

#include "link.h"
#include "scen.h"

#define FILE_MAX_BYTES (16U << 20)
#define PATH_BYTES 128

/** enum field_type - the C type of a member */
enum field_type {
	FIELD_STR, /* char[size] */
	FIELD_ADDR,
	FIELD_U64,
	FIELD_F64,
	FIELD_BOOL,
	FIELD_KIND,
	FIELD_DIST,
	FIELD_NAMES, /* GPtrArray * of char * */
	FIELD_TEXT,  /* any JSON, kept as its text in char[size] */
	FIELD_LIST,  /* GArray *; @sub and @item say of what */
};

/** struct field - one member; a table ends with a NULL name */
struct field {
	const char *name;
	enum field_type type;
	uint32_t offset;
	uint32_t size;
	bool required;
	const char *def; /* JSON text, NULL for zero */
	const struct field *sub;
	uint32_t item;
};

#define F(struct_, member_, name_, type_, ...)                                 \
	{                                                                      \
		.name = (name_), .type = (type_),                              \
		.offset = offsetof (struct_, member_),                         \
		.size = sizeof (((struct_ *)0)->member_), __VA_ARGS__          \
	}
#define MUST .required = true
#define DEF(text_) .def = text_

static const struct field target_fields[] = {
	F (struct scen_target, name, "name", FIELD_STR, MUST),
	F (struct scen_target, addr, "addr", FIELD_ADDR, MUST),
	{0},
};

static const struct field standin_fields[] = {
	F (struct scen_standin, name, "name", FIELD_STR, MUST),
	F (struct scen_standin, addr, "addr", FIELD_ADDR, MUST),
	F (struct scen_standin, domain, "domain", FIELD_STR, ),
	F (struct scen_standin, price_per_h, "price_per_h", FIELD_F64, ),
	F (struct scen_standin, reclaimable, "reclaimable", FIELD_BOOL, ),
	F (struct scen_standin, service, "service", FIELD_BOOL, ),
	{0},
};

static const struct field class_fields[] = {
	F (struct scen_class, name, "name", FIELD_STR, MUST),
	F (struct scen_class, tier, "tier", FIELD_U64, MUST),
	F (struct scen_class, weight, "weight", FIELD_F64, DEF ("1")),
	F (struct scen_class, ttft_ms, "ttft_ms", FIELD_F64, MUST),
	F (struct scen_class, itl_ms, "itl_ms", FIELD_F64, ),
	{0},
};

static const struct field account_fields[] = {
	F (struct scen_account, name, "name", FIELD_STR, MUST),
	F (struct scen_account, key, "key", FIELD_STR, ),
	F (struct scen_account, weight, "weight", FIELD_F64, DEF ("1")),
	F (struct scen_account, part, "part", FIELD_F64, DEF ("1")),
	{0},
};

static const struct field burst_fields[] = {
	F (struct scen_burst, at_s, "at_s", FIELD_F64, MUST),
	F (struct scen_burst, for_s, "for_s", FIELD_F64, MUST),
	F (struct scen_burst, factor, "factor", FIELD_F64, MUST),
	{0},
};

static const struct field load_fields[] = {
	F (struct scen_load, name, "name", FIELD_STR, MUST),
	F (struct scen_load, kind, "kind", FIELD_KIND, DEF ("\"chat\"")),
	F (struct scen_load, klass, "class", FIELD_STR, MUST),
	F (struct scen_load, model, "model", FIELD_STR, DEF ("\"m1\"")),
	F (struct scen_load, path, "path", FIELD_STR, ),
	F (struct scen_load, method, "method", FIELD_STR, DEF ("\"POST\"")),
	F (struct scen_load, rate_per_s, "rate_per_s", FIELD_F64, ),
	F (struct scen_load, concurrency, "concurrency", FIELD_U64, ),
	F (struct scen_load, stream, "stream", FIELD_BOOL, DEF ("true")),
	F (struct scen_load, once, "once", FIELD_BOOL, ),
	F (struct scen_load, resend, "resend", FIELD_U64, ),
	F (struct scen_load, prefixes, "prefixes", FIELD_U64, ),
	F (struct scen_load, prefix_bytes, "prefix_bytes", FIELD_U64, ),
	F (struct scen_load, max_tokens, "max_tokens", FIELD_U64, DEF ("4096")),
	F (struct scen_load, prompt, "prompt_bytes", FIELD_DIST, DEF ("200")),
	F (struct scen_load, output, "output_tokens", FIELD_DIST, DEF ("32")),
	F (struct scen_load, bursts, "bursts", FIELD_LIST, .sub = burst_fields,
	   .item = sizeof (struct scen_burst)),
	F (struct scen_load, account_names, "accounts", FIELD_NAMES, ),
	F (struct scen_load, target_names, "targets", FIELD_NAMES, ),
	{0},
};

static const struct field fault_fields[] = {
	F (struct scen_fault, at_s, "at_s", FIELD_F64, MUST),
	F (struct scen_fault, addr, "addr", FIELD_ADDR, ),
	F (struct scen_fault, set, "set", FIELD_TEXT, ),
	F (struct scen_fault, pid_file, "pid_file", FIELD_STR, ),
	F (struct scen_fault, pid, "pid", FIELD_U64, ),
	F (struct scen_fault, signal, "signal", FIELD_U64, ),
	{0},
};

#define LIST(sub_, item_) .sub = (sub_), .item = sizeof (struct item_)

static const struct field scen_fields[] = {
	F (struct scen, name, "name", FIELD_STR, DEF ("\"scenario\"")),
	F (struct scen, class_header, "class_header", FIELD_STR, ),
	F (struct scen, seed, "seed", FIELD_U64, DEF ("1")),
	F (struct scen, duration_s, "duration_s", FIELD_F64, MUST),
	F (struct scen, drain_s, "drain_s", FIELD_F64, DEF ("10")),
	F (struct scen, warmup_s, "warmup_s", FIELD_F64, ),
	F (struct scen, verify, "verify", FIELD_BOOL, DEF ("true")),
	F (struct scen, targets, "targets", FIELD_LIST, MUST,
	   LIST (target_fields, scen_target)),
	F (struct scen, standins, "stand_ins", FIELD_LIST,
	   LIST (standin_fields, scen_standin)),
	F (struct scen, classes, "classes", FIELD_LIST, MUST,
	   LIST (class_fields, scen_class)),
	F (struct scen, accounts, "accounts", FIELD_LIST, MUST,
	   LIST (account_fields, scen_account)),
	F (struct scen, loads, "load", FIELD_LIST, MUST,
	   LIST (load_fields, scen_load)),
	F (struct scen, faults, "faults", FIELD_LIST,
	   LIST (fault_fields, scen_fault)),
	{0},
};

static const struct field dist_fields[] = {
	F (struct scen_dist, mean, "mean", FIELD_F64, MUST),
	F (struct scen_dist, min, "min", FIELD_F64, DEF ("1")),
	F (struct scen_dist, max, "max", FIELD_F64, DEF ("1e6")),
	{0},
};

static const char *const kinds[] = {"chat", "completions", "call"};
static const char *const shapes[] = {"const", "uniform", "exp", "lognormal"};

static bool read_object (struct json_object *o, const struct field *fields,
			 void *to, const char *path, struct err *e);

static bool
bad (struct err *e, const char *path, const char *what)
{
	return err_set (e, ERR_SETTINGS, "%s: %s", path, what);
}

static bool
read_word (struct json_object *v, const char *const *words, unsigned count,
	   void *to, const char *path, struct err *e)
{
	for (unsigned i = 0; i < count; i++) {
		if (json_object_is_type (v, json_type_string) &&
		    strcmp (json_object_get_string (v), words[i]) == 0) {
			*(unsigned *)to = i;
			return true;
		}
	}
	return bad (e, path, "not one of the known words");
}

static bool
read_string (struct json_object *v, char *to, uint32_t size, const char *path,
	     struct err *e)
{
	if (!json_object_is_type (v, json_type_string))
		return bad (e, path, "must be a string");
	if (g_strlcpy (to, json_object_get_string (v), size) >= size)
		return bad (e, path, "too long");
	return true;
}

static bool
read_addr (struct json_object *v, char *to, uint32_t size, const char *path,
	   struct err *e)
{
	struct sockaddr_in addr;
	struct err why;

	if (!read_string (v, to, size, path, e))
		return false;
	if (!link_addr_parse (to, &addr, &why))
		return bad (e, path, why.msg);
	return true;
}

static bool
read_number (struct json_object *v, double *to, const char *path, struct err *e)
{
	if (!json_object_is_type (v, json_type_double) &&
	    !json_object_is_type (v, json_type_int))
		return bad (e, path, "must be a number");
	*to = json_object_get_double (v);
	if (!(*to >= 0 && *to <= 1e12))
		return bad (e, path, "out of range");
	return true;
}

static bool
read_u64 (struct json_object *v, uint64_t *to, const char *path, struct err *e)
{
	if (!json_object_is_type (v, json_type_int))
		return bad (e, path, "must be a whole number");
	if (json_object_get_int64 (v) < 0)
		return bad (e, path, "out of range");
	*to = (uint64_t)json_object_get_int64 (v);
	return true;
}

/* A number is a constant; an object names its shape. */
static bool
read_dist (struct json_object *v, struct scen_dist *d, const char *path,
	   struct err *e)
{
	struct json_object *shape;

	if (!json_object_is_type (v, json_type_object)) {
		*d = (struct scen_dist){.shape = SCEN_CONST, .max = 1e6};
		return read_number (v, &d->mean, path, e);
	}
	if (!json_object_object_get_ex (v, "shape", &shape))
		return bad (e, path, "shape is missing");
	if (!read_word (shape, shapes, G_N_ELEMENTS (shapes), &d->shape, path,
			e))
		return false;
	json_object_object_del (v, "shape");
	return read_object (v, dist_fields, d, path, e);
}

static bool
read_names (struct json_object *v, GPtrArray *to, const char *path,
	    struct err *e)
{
	if (!json_object_is_type (v, json_type_array))
		return bad (e, path, "must be an array of names");
	for (size_t i = 0; i < json_object_array_length (v); i++) {
		struct json_object *s = json_object_array_get_idx (v, i);

		if (!json_object_is_type (s, json_type_string))
			return bad (e, path, "must be an array of names");
		g_ptr_array_add (to, g_strdup (json_object_get_string (s)));
	}
	return true;
}

static bool
read_list (struct json_object *v, const struct field *f, GArray *to,
	   const char *path, struct err *e)
{
	char sub[PATH_BYTES];

	if (!json_object_is_type (v, json_type_array))
		return bad (e, path, "must be an array");
	for (size_t i = 0; i < json_object_array_length (v); i++) {
		g_snprintf (sub, sizeof sub, "%s[%zu]", path, i);
		g_array_set_size (to, to->len + 1);
		if (!read_object (json_object_array_get_idx (v, i), f->sub,
				  to->data + (to->len - 1) * f->item, sub, e))
			return false;
	}
	return true;
}

static bool
read_field (struct json_object *v, const struct field *f, void *at,
	    const char *path, struct err *e)
{
	switch (f->type) {
	case FIELD_STR:
		return read_string (v, at, f->size, path, e);
	case FIELD_ADDR:
		return read_addr (v, at, f->size, path, e);
	case FIELD_U64:
		return read_u64 (v, at, path, e);
	case FIELD_F64:
		return read_number (v, at, path, e);
	case FIELD_BOOL:
		*(bool *)at = json_object_get_boolean (v);
		return json_object_is_type (v, json_type_boolean) ||
		       bad (e, path, "must be true or false");
	case FIELD_KIND:
		return read_word (v, kinds, G_N_ELEMENTS (kinds), at, path, e);
	case FIELD_DIST:
		return read_dist (v, at, path, e);
	case FIELD_NAMES:
		return read_names (v, *(GPtrArray **)at, path, e);
	case FIELD_TEXT:
		return g_strlcpy (at,
				  json_object_to_json_string_ext (
					  v, JSON_C_TO_STRING_PLAIN),
				  f->size) < f->size ||
		       bad (e, path, "too long");
	case FIELD_LIST:
		return read_list (v, f, *(GArray **)at, path, e);
	}
	return bad (e, path, "has no reader");
}

static void
make_lists (const struct field *fields, void *to)
{
	for (const struct field *f = fields; f->name != NULL; f++) {
		void *at = (char *)to + f->offset;

		if (f->type == FIELD_LIST)
			*(GArray **)at = g_array_new (FALSE, TRUE, f->item);
		if (f->type == FIELD_NAMES)
			*(GPtrArray **)at =
				g_ptr_array_new_with_free_func (g_free);
	}
}

static bool
known_names (struct json_object *o, const struct field *fields,
	     const char *path, struct err *e)
{
	json_object_object_foreach (o, name, v)
	{
		const struct field *f = fields;

		(void)v;
		while (f->name != NULL && strcmp (f->name, name) != 0)
			f++;
		if (f->name == NULL)
			return err_set (e, ERR_SETTINGS, "%s: unknown name %s",
					path, name);
	}
	return true;
}

static bool
read_object (struct json_object *o, const struct field *fields, void *to,
	     const char *path, struct err *e)
{
	char sub[PATH_BYTES];
	bool ok = true;

	if (!json_object_is_type (o, json_type_object))
		return bad (e, path, "must be an object");
	make_lists (fields, to);
	if (!known_names (o, fields, path, e))
		return false;
	for (const struct field *f = fields; f->name != NULL && ok; f++) {
		struct json_object *v = NULL, *def = NULL;

		g_snprintf (sub, sizeof sub, "%s.%s", path, f->name);
		if (!json_object_object_get_ex (o, f->name, &v)) {
			if (f->required)
				return bad (e, sub, "is missing");
			if (f->def == NULL)
				continue;
			v = def = json_tokener_parse (f->def);
		}
		ok = read_field (v, f, (char *)to + f->offset, sub, e);
		json_object_put (def);
	}
	return ok;
}

static char *
substitute (char *text, const GPtrArray *defs, struct err *e)
{
	char *left;

	for (guint i = 0; i < defs->len; i++) {
		char **part = g_strsplit (defs->pdata[i], "=", 2);
		char *mark = g_strdup_printf ("${%s}", part[0]);
		char **pieces = g_strsplit (text, mark, -1);

		g_free (text);
		text = g_strjoinv (part[1] != NULL ? part[1] : "", pieces);
		g_strfreev (pieces);
		g_strfreev (part);
		g_free (mark);
	}
	left = strstr (text, "${");
	if (left == NULL)
		return text;
	err_set (e, ERR_SETTINGS, "%.32s... has no value: give it with -D",
		 left);
	g_free (text);
	return NULL;
}

static struct json_object *
parse_text (const char *text, const char *path, struct err *e)
{
	struct json_tokener *t = json_tokener_new ();
	struct json_object *o =
		json_tokener_parse_ex (t, text, (int)strlen (text));
	const char *why = json_tokener_error_desc (json_tokener_get_error (t));
	size_t at = json_tokener_get_parse_end (t);
	unsigned line = 1;

	if (o != NULL && text[at + strspn (text + at, " \t\r\n")] != '\0') {
		json_object_put (o);
		o = NULL;
		why = "text after the end";
	}
	for (size_t i = 0; i < at; i++)
		line += text[i] == '\n';
	if (o == NULL)
		err_set (e, ERR_SETTINGS, "%s:%u: %s", path, line, why);
	json_tokener_free (t);
	return o;
}

static int32_t
find_name (const GArray *list, uint32_t item, const char *name)
{
	/* Every named struct starts with its name. */
	for (guint i = 0; i < list->len; i++) {
		if (strcmp (list->data + i * item, name) == 0)
			return (int32_t)i;
	}
	return -1;
}

static bool
resolve_names (const GPtrArray *names, const GArray *list, uint32_t item,
	       GArray *out, struct err *e)
{
	for (guint i = 0; i < (names->len > 0 ? names->len : list->len); i++) {
		int32_t ix = names->len > 0
				     ? find_name (list, item, names->pdata[i])
				     : (int32_t)i;

		if (ix < 0)
			return err_set (e, ERR_SETTINGS,
					"load: no target or account is "
					"named %s",
					(char *)names->pdata[i]);
		g_array_append_val (out, ix);
	}
	return out->len > 0 ||
	       err_set (e, ERR_SETTINGS, "load: no targets or accounts");
}

static bool
resolve (struct scen *s, struct err *e)
{
	for (guint i = 0; i < s->loads->len; i++) {
		struct scen_load *l =
			&g_array_index (s->loads, struct scen_load, i);
		int32_t ix = find_name (s->classes, sizeof (struct scen_class),
					l->klass);

		if (ix < 0)
			return err_set (e, ERR_SETTINGS,
					"load %s: no class is named %s",
					l->name, l->klass);
		l->class_ix = (uint32_t)ix;
		l->accounts = g_array_new (FALSE, FALSE, sizeof (uint32_t));
		l->targets = g_array_new (FALSE, FALSE, sizeof (uint32_t));
		if (!resolve_names (l->account_names, s->accounts,
				    sizeof (struct scen_account), l->accounts,
				    e) ||
		    !resolve_names (l->target_names, s->targets,
				    sizeof (struct scen_target), l->targets, e))
			return false;
	}
	return true;
}

bool
scen_load (struct scen *s, const char *path, const GPtrArray *defs,
	   struct err *e)
{
	struct json_object *o;
	GError *why = NULL;
	char *text;
	gsize len;
	bool ok;

	memset (s, 0, sizeof *s);
	if (!g_file_get_contents (path, &text, &len, &why)) {
		err_set (e, ERR_IO, "%s", why->message);
		g_error_free (why);
		return false;
	}
	if (len > FILE_MAX_BYTES) {
		g_free (text);
		return err_set (e, ERR_SETTINGS, "%s: too long", path);
	}
	text = substitute (text, defs, e);
	if (text == NULL)
		return false;
	o = parse_text (text, path, e);
	g_free (text);
	if (o == NULL)
		return false;
	ok = read_object (o, scen_fields, s, path, e) && resolve (s, e);
	json_object_put (o);
	return ok;
}

static void
free_lists (const struct field *fields, void *from)
{
	for (const struct field *f = fields; f->name != NULL; f++) {
		void *at = (char *)from + f->offset;
		GArray *list;

		if (f->type == FIELD_NAMES && *(GPtrArray **)at != NULL)
			g_ptr_array_free (*(GPtrArray **)at, TRUE);
		if (f->type != FIELD_LIST || *(GArray **)at == NULL)
			continue;
		list = *(GArray **)at;
		for (guint i = 0; i < list->len; i++)
			free_lists (f->sub, list->data + i * f->item);
		g_array_free (list, TRUE);
	}
}

void
scen_finish (struct scen *s)
{
	for (guint i = 0; s->loads != NULL && i < s->loads->len; i++) {
		struct scen_load *l =
			&g_array_index (s->loads, struct scen_load, i);

		if (l->accounts != NULL)
			g_array_free (l->accounts, TRUE);
		if (l->targets != NULL)
			g_array_free (l->targets, TRUE);
	}
	free_lists (scen_fields, s);
	memset (s, 0, sizeof *s);
}
