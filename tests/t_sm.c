/*
 * A state machine fed with commands, for the tests that need one.
 */
#include <string.h>

#include "t_sm.h"

void
t_sm_init (struct t_sm *t)
{
	memset (t, 0, sizeof *t);
	t->sm = sm_new ();
	t->term = 1;
}

void
t_sm_finish (struct t_sm *t)
{
	sm_free (t->sm);
}

void
t_sm_put (struct t_sm *t, enum sm_kind kind, const void *cmd)
{
	msgpack_sbuffer buf;

	msgpack_sbuffer_init (&buf);
	msg_pack (sm_kind_fields (kind), cmd, &buf);
	sm_apply (t->sm, ++t->index, t->term, kind, buf.data, buf.size, &t->r);
	msgpack_sbuffer_destroy (&buf);
}

bool
t_sm_equal (const struct sm *a, const struct sm *b)
{
	msgpack_sbuffer x, y;
	bool equal;

	msgpack_sbuffer_init (&x);
	msgpack_sbuffer_init (&y);
	sm_snapshot (a, &x);
	sm_snapshot (b, &y);
	equal = x.size == y.size && memcmp (x.data, y.data, x.size) == 0;
	msgpack_sbuffer_destroy (&x);
	msgpack_sbuffer_destroy (&y);
	return equal;
}

struct inv_change
t_sm_set (enum inv_section section, const char *name, const char *json)
{
	struct inv_change c;

	memset (&c, 0, sizeof c);
	c.section = (uint8_t)section;
	g_strlcpy (c.name, name, sizeof c.name);
	c.json.data = (const uint8_t *)json;
	c.json.len = (uint32_t)strlen (json);
	return c;
}

struct sm_claim
t_sm_claim (const char *key, uint8_t digest, const char *entry, uint64_t inc,
	    uint64_t attempt, uint64_t wall_ms)
{
	struct sm_claim c = {.account = "a",
			     .incarnation = inc,
			     .attempt = attempt,
			     .wall_ms = wall_ms};

	memset (c.digest, digest, sizeof c.digest);
	g_strlcpy (c.key, key, sizeof c.key);
	g_strlcpy (c.entry, entry, sizeof c.entry);
	return c;
}

void
t_sm_claim_done (struct t_sm *t, const struct sm_claim *c,
		 enum sm_outcome outcome, uint16_t status, const char *body)
{
	struct sm_claim_done d = {.outcome = (uint8_t)outcome,
				  .status = status,
				  .incarnation = c->incarnation,
				  .attempt = c->attempt,
				  .wall_ms = c->wall_ms};

	g_strlcpy (d.account, c->account, sizeof d.account);
	g_strlcpy (d.key, c->key, sizeof d.key);
	g_strlcpy (d.entry, c->entry, sizeof d.entry);
	d.body.data = (const uint8_t *)body;
	d.body.len = (uint32_t)strlen (body);
	t_sm_put (t, SM_CLAIM_DONE, &d);
}
