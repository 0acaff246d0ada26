/*
 * A relay that is out of touch with its group takes the seeds from its settings
 * again, and forgets no address while it reaches no other.
 */
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "relay_world.h"
#include "t_run.h"

#define FORGET_MS 61000 /* an address that nobody named is forgotten */

/* A relay with a settings file, whose seeds answer nothing. */
struct lone {
	struct world w;
	char *file;
};

static void
write_seeds (struct lone *l, const char *seeds)
{
	char *text = g_strdup_printf (
		"{\"name\": \"r\", \"domain\": \"d\", \"listen\": "
		"\"127.0.0.1:1\","
		" \"ready\": \"127.0.0.1:2\", \"peer\": \"127.0.0.1:3\","
		" \"cluster_key_file\": \"k\", \"platform\": \"127.0.0.1:4\","
		" \"seeds\": %s}",
		seeds);

	CU_ASSERT_FATAL (g_file_set_contents (l->file, text, -1, NULL));
	g_free (text);
}

static void
lone_init (struct lone *l)
{
	struct relay *r = &l->w.r;

	world_init (&l->w, "app", 1);
	g_ptr_array_free (r->members, TRUE);
	g_array_free (r->unreported_segments, TRUE);
	l->file = g_strdup_printf ("%s/dh-test-relay-%d", g_get_tmp_dir (),
				   (int)getpid ());
	r->settings_file = l->file;
	r->peer_port = 9;
	r->self.from.s_addr = r->source_addr.s_addr = htonl (INADDR_LOOPBACK);
	r->set.seeds = g_ptr_array_new_with_free_func (g_free);
	g_ptr_array_add (r->set.seeds, g_strdup ("127.0.0.1:8"));
	write_seeds (l, "[\"127.0.0.1:8\"]");
	member_init (r);
}

static void
lone_finish (struct lone *l)
{
	struct relay *r = &l->w.r;

	member_finish (r);
	r->members = g_ptr_array_new ();
	r->unreported_segments =
		g_array_new (FALSE, FALSE, sizeof (struct load_segment));
	g_ptr_array_free (r->set.seeds, TRUE);
	g_unlink (l->file);
	g_free (l->file);
	world_finish (&l->w);
}

static bool
knows (const struct lone *l, const char *addr)
{
	const GPtrArray *members = l->w.r.members;

	for (guint i = 0; i < members->len; i++) {
		const struct group_member *m = g_ptr_array_index (members, i);

		if (strcmp (m->addr, addr) == 0)
			return true;
	}
	return false;
}

static void
test_reload (void)
{
	struct lone l;

	lone_init (&l);
	CU_ASSERT (knows (&l, "127.0.0.1:9") && l.w.r.members->len == 1);
	write_seeds (&l, "[");
	member_reload_seeds (&l.w.r);
	write_seeds (&l, "[\"127.0.0.7:8\"]");
	member_reload_seeds (&l.w.r);
	member_tick (&l.w.r, tmr_now_ms ());
	CU_ASSERT (knows (&l, "127.0.0.7:9") && knows (&l, "127.0.0.1:9"));
	lone_finish (&l);
}

/* The settings may change without a signal. */
static void
test_reload_without_signal (void)
{
	struct lone l;
	uint64_t now_ms;

	lone_init (&l);
	now_ms = tmr_now_ms ();
	write_seeds (&l, "[\"127.0.0.7:8\"]");
	member_tick (&l.w.r, now_ms + SEEDS_PATIENCE_MS / 2);
	CU_ASSERT (!knows (&l, "127.0.0.7:9"));
	member_tick (&l.w.r, now_ms + SEEDS_PATIENCE_MS + 100);
	CU_ASSERT (knows (&l, "127.0.0.7:9"));
	CU_ASSERT_EQUAL (l.w.r.watch.lost, 1);
	lone_finish (&l);
}

/* Members that nobody names, since nobody is in touch, are the only ones where
 * the group may be found again. */
static void
test_last_members_are_kept (void)
{
	struct lone l;

	lone_init (&l);
	write_seeds (&l, "[\"127.0.0.7:8\"]");
	member_reload_seeds (&l.w.r);
	member_tick (&l.w.r, tmr_now_ms () + FORGET_MS);
	CU_ASSERT (knows (&l, "127.0.0.1:9") && knows (&l, "127.0.0.7:9"));
	lone_finish (&l);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"reload", test_reload},
		{"reload without a signal", test_reload_without_signal},
		{"the last members are kept", test_last_members_are_kept},
		{NULL, NULL}};

	return t_run ("relay_members", cases);
}
