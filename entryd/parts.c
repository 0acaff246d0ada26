/*
 * Parts of client accounts' limits: messages of lib/part between entries.
 */
#include "entryd.h"

static void
send_ask (struct bb_peer *to, const struct part_ask *m, void *ctx)
{
	peer_send_to (ctx, to->name, FRAME_PART_ASK, part_ask_fields, m);
}

static void
send_grant (struct bb_peer *to, const struct part_grant *m, void *ctx)
{
	peer_send_to (ctx, to->name, FRAME_PART_GRANT, part_grant_fields, m);
}

void
parts_init (struct entry *e, uint64_t now_ms)
{
	static const struct part_ops ops = {send_ask, send_grant};
	struct part_settings set = PART_SETTINGS_DEFAULT;

	part_init (&e->part, &e->bb, &set, &ops, e, e->self.incarnation,
		   now_ms);
}

/* Each limited account that is in use, or lent from: for operators. */
void
parts_print (struct entry *e, GString *s)
{
	const char *sep = "";

	g_string_append (s, "\"accounts\":[");
	for (uint32_t i = 0; e->inv != NULL && i < e->inv->account_count; i++) {
		const struct bb_account *a = e->bb.accounts[i];
		uint32_t may = bb_account_concurrency (a, tmr_now_ms ());

		if (may == BB_NO_LIMIT && a->quota.rate_milli == BB_NO_LIMIT)
			continue;
		g_string_append_printf (s, "%s{\"name\":\"%s\"", sep, a->name);
		if (may != BB_NO_LIMIT)
			g_string_append_printf (s, ",\"may_run\":%u", may);
		if (a->quota.rate_milli != BB_NO_LIMIT)
			g_string_append_printf (s, ",\"rate_per_s\":%.3f",
						a->quota.rate_milli / 1000.0);
		g_string_append_printf (s, ",\"running\":%u,\"queued\":%u}",
					a->in_flight, a->queued);
		sep = ",";
	}
	g_string_append (s, "]");
}
