/*
 * Idempotency records in the replicated state machine.  A call that may not
 * be repeated is claimed here before it is sent, so that a resend, through
 * whichever entry, finds the claim and never runs a second time.
 */
#include <string.h>

#include "sm_int.h"

static guint
claim_hash (gconstpointer p)
{
	const struct sm_claim_rec *r = p;

	return g_str_hash (r->claim.account) * 31 + g_str_hash (r->claim.key);
}

static gboolean
claim_equal (gconstpointer pa, gconstpointer pb)
{
	const struct sm_claim_rec *a = pa, *b = pb;

	return strcmp (a->claim.account, b->claim.account) == 0 &&
	       strcmp (a->claim.key, b->claim.key) == 0;
}

static void
claim_free (gpointer p)
{
	struct sm_claim_rec *r = p;

	g_free ((gpointer)r->body.data);
	g_free (r);
}

static gint
name_cmp (gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp (a, b);
}

void
sm_claim_init (struct sm *sm)
{
	sm->instances = g_tree_new_full (name_cmp, NULL, NULL, g_free);
	sm->claims = g_hash_table_new_full (claim_hash, claim_equal, NULL,
					    claim_free);
	g_queue_init (&sm->claim_queue);
}

void
sm_claim_finish (struct sm *sm)
{
	g_hash_table_destroy (sm->claims);
	g_tree_destroy (sm->instances);
}

uint64_t
sm_incarnation (const struct sm *sm, const char *entry)
{
	const struct sm_instance *in = g_tree_lookup (sm->instances, entry);

	return in == NULL ? 0 : in->incarnation;
}

void
sm_claim_put_instance (struct sm *sm, const void *instance)
{
	const struct sm_instance *in = instance;

	sm_saw_instance (sm, in->name, in->incarnation);
}

static struct sm_claim_rec *
claim_find (const struct sm *sm, const char *account, const char *key)
{
	struct sm_claim_rec probe;

	memset (&probe, 0, sizeof probe);
	g_strlcpy (probe.claim.account, account, sizeof probe.claim.account);
	g_strlcpy (probe.claim.key, key, sizeof probe.claim.key);
	return g_hash_table_lookup (sm->claims, &probe);
}

static void
claim_drop (struct sm *sm, struct sm_claim_rec *rec)
{
	g_queue_unlink (&sm->claim_queue, &rec->link);
	sm->claim_bytes -= rec->body.len;
	g_hash_table_remove (sm->claims, rec);
}

/* Records leave by age alone, never to make room for newer ones. */
static void
claims_expire (struct sm *sm)
{
	for (;;) {
		struct sm_claim_rec *oldest =
			g_queue_peek_head (&sm->claim_queue);

		if (oldest == NULL ||
		    oldest->claim.wall_ms + SM_CLAIM_KEEP_MS > sm->clock_ms)
			return;
		claim_drop (sm, oldest);
	}
}

void
sm_claim_put (struct sm *sm, const void *claim_rec)
{
	const struct sm_claim_rec *rec = claim_rec;
	struct sm_claim_rec *own = g_memdup2 (rec, sizeof *rec);

	own->body.data = rec->body.len == 0
				 ? NULL
				 : g_memdup2 (rec->body.data, rec->body.len);
	own->link = (GList){.data = own};
	sm->claim_bytes += own->body.len;
	g_queue_push_tail_link (&sm->claim_queue, &own->link);
	g_hash_table_add (sm->claims, own);
}

static void
claim_grant (struct sm *sm, const struct sm_claim *c, struct sm_reply *r)
{
	struct sm_claim_rec rec;

	memset (&rec, 0, sizeof rec);
	rec.claim = *c;
	/* Retention goes by the common clock, so that one proposer's wrong
	 * clock neither forgets its records early nor keeps others back. */
	rec.claim.wall_ms = sm->clock_ms;
	rec.outcome = SM_PENDING;
	sm_claim_put (sm, &rec);
	r->granted = true;
	r->outcome = SM_PENDING;
}

static bool
same_attempt (const struct sm_claim *held, const char *entry,
	      uint64_t incarnation, uint64_t attempt)
{
	return attempt != 0 && held->attempt == attempt &&
	       held->incarnation == incarnation &&
	       strcmp (held->entry, entry) == 0;
}

static void
claim_pending (const struct sm *sm, const struct sm_claim_rec *rec,
	       const struct sm_claim *c, struct sm_reply *r)
{
	const struct sm_claim *held = &rec->claim;

	r->outcome = SM_PENDING;
	if (same_attempt (held, c->entry, c->incarnation, c->attempt)) {
		r->granted = true;
		return;
	}
	if (sm_incarnation (sm, held->entry) > held->incarnation) {
		r->outcome = SM_UNKNOWN;
		sm_refuse (r, ERR_OUTCOME_UNKNOWN,
			   "entry %s, which held the call, restarted",
			   held->entry);
	} else if (held->wall_ms + SM_CLAIM_PENDING_MS <= sm->clock_ms) {
		r->outcome = SM_UNKNOWN;
		sm_refuse (r, ERR_OUTCOME_UNKNOWN,
			   "entry %s, which held the call, never told",
			   held->entry);
	} else {
		sm_refuse (r, ERR_IN_PROGRESS, "entry %s holds the call",
			   held->entry);
	}
}

/* A claim where an attempt was ended unsent: only that one comes too late. */
static void
claim_after_end (struct sm *sm, struct sm_claim_rec *rec,
		 const struct sm_claim *c, struct sm_reply *r)
{
	if (same_attempt (&rec->claim, c->entry, c->incarnation, c->attempt)) {
		sm_refuse (r, ERR_CONFLICT, "this attempt has ended");
		return;
	}
	claim_drop (sm, rec);
	claim_grant (sm, c, r);
}

static void
claim_again (struct sm *sm, struct sm_claim_rec *rec, const struct sm_claim *c,
	     struct sm_reply *r)
{
	r->outcome = rec->outcome;
	/* Nothing ran under this key, whatever its body was. */
	if (rec->outcome == SM_NOT_SENT) {
		claim_after_end (sm, rec, c, r);
		return;
	}
	if (memcmp (rec->claim.digest, c->digest, sizeof c->digest) != 0) {
		sm_refuse (r, ERR_KEY_REUSED,
			   "idempotency key: used for another request");
		return;
	}
	switch ((enum sm_outcome)rec->outcome) {
	case SM_PENDING:
		claim_pending (sm, rec, c, r);
		return;
	case SM_ANSWERED:
		r->status = rec->status;
		g_strlcpy (r->type, rec->type, sizeof r->type);
		r->body = rec->body;
		if (!rec->body_kept)
			sm_refuse (r, ERR_OUTCOME_UNKNOWN,
				   "answered with status %u, too long to keep",
				   rec->status);
		return;
	case SM_NOT_SENT:
	case SM_UNKNOWN:
		sm_refuse (r, ERR_OUTCOME_UNKNOWN,
			   "the call was sent and its answer lost");
		return;
	}
}

void
sm_claim_apply (struct sm *sm, const struct sm_claim *c, struct sm_reply *r)
{
	struct sm_claim_rec *rec;

	if (c->key[0] == '\0' || c->entry[0] == '\0' || c->attempt == 0) {
		sm_refuse (r, ERR_BAD_REQUEST,
			   "claim without key, entry or attempt");
		return;
	}
	sm_saw_instance (sm, c->entry, c->incarnation);
	claims_expire (sm);
	rec = claim_find (sm, c->account, c->key);
	if (rec != NULL)
		claim_again (sm, rec, c, r);
	else if (g_hash_table_size (sm->claims) >= SM_CLAIMS_MAX)
		sm_refuse (r, ERR_FULL, "%u idempotency records are kept",
			   SM_CLAIMS_MAX);
	else
		claim_grant (sm, c, r);
}

static void
outcome_store (struct sm *sm, struct sm_claim_rec *rec,
	       const struct sm_claim_done *d)
{
	rec->outcome = d->outcome;
	rec->status = d->status;
	g_strlcpy (rec->type, d->type, sizeof rec->type);
	rec->body_kept = d->body.len <= SM_BODY_MAX &&
			 sm->claim_bytes + d->body.len <= SM_CLAIM_BODIES_BYTES;
	if (d->outcome != SM_ANSWERED || !rec->body_kept || d->body.len == 0)
		return;
	rec->body.data = g_memdup2 (d->body.data, d->body.len);
	rec->body.len = d->body.len;
	sm->claim_bytes += d->body.len;
}

/* "Not sent" overtook its own claim, which would stay pending: what it ended
 * is noted, and the claim finds that. */
static void
end_early (struct sm *sm, const struct sm_claim_done *d, struct sm_reply *r)
{
	struct sm_claim_rec rec;

	memset (&rec, 0, sizeof rec);
	memcpy (rec.claim.account, d->account, sizeof rec.claim.account);
	memcpy (rec.claim.key, d->key, sizeof rec.claim.key);
	memcpy (rec.claim.entry, d->entry, sizeof rec.claim.entry);
	rec.claim.incarnation = d->incarnation;
	rec.claim.attempt = d->attempt;
	rec.claim.wall_ms = sm->clock_ms;
	rec.outcome = SM_NOT_SENT;
	sm_claim_put (sm, &rec);
	r->outcome = SM_NOT_SENT;
}

void
sm_claim_outcome (struct sm *sm, const struct sm_claim_done *d,
		  struct sm_reply *r)
{
	struct sm_claim_rec *rec = claim_find (sm, d->account, d->key);

	if (d->outcome != SM_ANSWERED && d->outcome != SM_NOT_SENT &&
	    d->outcome != SM_UNKNOWN) {
		sm_refuse (r, ERR_BAD_REQUEST, "outcome %u: unknown",
			   d->outcome);
		return;
	}
	if (rec == NULL && d->outcome == SM_NOT_SENT && d->attempt != 0 &&
	    d->key[0] != '\0' && d->entry[0] != '\0' &&
	    g_hash_table_size (sm->claims) < SM_CLAIMS_MAX) {
		end_early (sm, d, r);
		return;
	}
	if (rec == NULL ||
	    !same_attempt (&rec->claim, d->entry, d->incarnation, d->attempt)) {
		sm_refuse (r, ERR_NOT_FOUND, "no claim of this attempt");
		return;
	}
	/* The first outcome stands, but an answer is better than "unknown". */
	if (rec->outcome == SM_PENDING ||
	    (rec->outcome == SM_UNKNOWN && d->outcome == SM_ANSWERED))
		outcome_store (sm, rec, d);
	r->outcome = rec->outcome;
}
