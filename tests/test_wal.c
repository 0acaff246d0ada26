/*
 * The data folder: what was synced is read again after any crash, torn tails
 * are cut, damage stops the start, and failed writes are final.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "t_run.h"
#include "wal.h"

static char *
folder_new (void)
{
	char *dir = g_dir_make_tmp ("dh-wal-XXXXXX", NULL);

	CU_ASSERT_PTR_NOT_NULL_FATAL (dir);
	return dir;
}

static void
folder_free (char *dir)
{
	GDir *d = g_dir_open (dir, 0, NULL);
	const char *name;

	while (d != NULL && (name = g_dir_read_name (d)) != NULL) {
		char *path = g_build_filename (dir, name, NULL);

		g_unlink (path);
		g_free (path);
	}
	if (d != NULL)
		g_dir_close (d);
	g_rmdir (dir);
	g_free (dir);
}

static char *
read_file (const char *dir, const char *name, gsize *len)
{
	char *path = g_build_filename (dir, name, NULL);
	char *data = NULL;

	CU_ASSERT_FATAL (g_file_get_contents (path, &data, len, NULL));
	g_free (path);
	return data;
}

static void
write_file (const char *dir, const char *name, const char *data, gsize len)
{
	char *path = g_build_filename (dir, name, NULL);

	CU_ASSERT_FATAL (g_file_set_contents (path, data, (gssize)len, NULL));
	g_free (path);
}

static bool
put (struct wal *w, uint64_t from, uint64_t to, struct err *e)
{
	for (uint64_t i = from; i <= to; i++) {
		struct raft_entry entry = {
			.index = i, .term = 1, .kind = RAFT_ENTRY_COMMAND};
		char text[32];

		entry.data.len = (uint32_t)snprintf (
			text, sizeof text, "entry %" G_GUINT64_FORMAT, i);
		entry.data.data = (const uint8_t *)text;
		if (!wal_append (w, &entry, e))
			return false;
	}
	return wal_sync (w, e);
}

/* Opens the folder and closes it again; the count of entries, or -1. */
static int
count_entries (const char *dir, struct err *e)
{
	struct wal w;
	struct wal_state st;
	int n = -1;

	if (wal_open (&w, dir, NULL, NULL, &st, e)) {
		n = (int)st.entries->len;
		for (guint i = 0; i < st.entries->len; i++) {
			const struct raft_entry *x =
				g_ptr_array_index (st.entries, i);
			char text[32];
			int len =
				snprintf (text, sizeof text,
					  "entry %" G_GUINT64_FORMAT, x->index);

			CU_ASSERT_EQUAL (x->index, st.base + i + 1);
			CU_ASSERT_EQUAL (x->data.len, len);
			CU_ASSERT (memcmp (x->data.data, text, x->data.len) ==
				   0);
		}
		wal_finish (&w);
	}
	wal_state_finish (&st);
	return n;
}

static void
test_round_trip (void)
{
	char *dir = folder_new ();
	struct wal w;
	struct wal_state st;
	struct err e;

	CU_ASSERT_EQUAL (count_entries (dir, &e), -1);
	CU_ASSERT_EQUAL (e.kind, ERR_NOT_FOUND);
	CU_ASSERT_FATAL (wal_create (dir, 77, NULL, NULL, NULL, NULL, &e));
	CU_ASSERT_FALSE (wal_create (dir, 78, NULL, NULL, NULL, NULL, &e));
	CU_ASSERT_EQUAL (e.kind, ERR_CONFLICT);
	CU_ASSERT_FATAL (wal_open (&w, dir, NULL, NULL, &st, &e));
	CU_ASSERT_EQUAL (st.id, 77);
	wal_state_finish (&st);
	/* A second process is kept out. */
	CU_ASSERT_EQUAL (count_entries (dir, &e), -1);
	CU_ASSERT_EQUAL (e.kind, ERR_CONFLICT);
	CU_ASSERT (put (&w, 1, 9, &e));
	CU_ASSERT (wal_vote (&w, 4, 77, &e));
	CU_ASSERT (wal_truncate (&w, 6, &e));
	CU_ASSERT (put (&w, 6, 7, &e));
	wal_finish (&w);
	CU_ASSERT_EQUAL (count_entries (dir, &e), 7);
	CU_ASSERT (wal_open (&w, dir, NULL, NULL, &st, &e));
	CU_ASSERT_EQUAL (st.term, 4);
	CU_ASSERT_EQUAL (st.vote, 77);
	wal_state_finish (&st);
	wal_finish (&w);
	folder_free (dir);
}

/* Entries 1 to 3 in one batch, 4 to 6 in the next; where the first ends. */
static gsize
two_batches (const char *dir)
{
	struct wal w;
	struct wal_state st;
	struct stat s;

	CU_ASSERT_FATAL (wal_create (dir, 77, NULL, NULL, NULL, NULL, NULL));
	CU_ASSERT_FATAL (wal_open (&w, dir, NULL, NULL, &st, NULL));
	wal_state_finish (&st);
	CU_ASSERT (put (&w, 1, 3, NULL));
	fstat (w.log_fd, &s);
	CU_ASSERT (put (&w, 4, 6, NULL));
	wal_finish (&w);
	return (gsize)s.st_size;
}

static void
test_torn_tail (void)
{
	char *dir = folder_new ();
	gsize first = two_batches (dir);
	gsize len;
	char *log = read_file (dir, "log", &len);

	for (gsize cut = first; cut < len; cut++) {
		struct wal w;
		struct wal_state st;
		struct err e;
		guint kept;

		write_file (dir, "log", log, cut);
		CU_ASSERT_FATAL (wal_open (&w, dir, NULL, NULL, &st, &e));
		kept = st.entries->len;
		CU_ASSERT (kept >= 3 && kept < 6);
		wal_state_finish (&st);
		CU_ASSERT (put (&w, kept + 1, 8, &e));
		wal_finish (&w);
		CU_ASSERT_EQUAL (count_entries (dir, &e), 8);
	}
	/* A hole in the last batch, its later records whole. */
	log[first + 30] ^= 1;
	write_file (dir, "log", log, len);
	CU_ASSERT_EQUAL (count_entries (dir, NULL), 3);
	g_free (log);
	folder_free (dir);
}

static void
test_damage_stops_the_start (void)
{
	char *dir = folder_new ();
	gsize first = two_batches (dir);
	struct err e;
	gsize len;
	char *log = read_file (dir, "log", &len);

	for (gsize at = 0; at < first; at++) {
		log[at] ^= 0x10;
		write_file (dir, "log", log, len);
		err_clear (&e);
		CU_ASSERT_EQUAL (count_entries (dir, &e), -1);
		CU_ASSERT_EQUAL (e.kind, ERR_CORRUPT);
		log[at] ^= 0x10;
	}
	write_file (dir, "log", log, len);
	CU_ASSERT_EQUAL (count_entries (dir, &e), 6);
	write_file (dir, "log", log, 0);
	CU_ASSERT_EQUAL (count_entries (dir, &e), -1);
	CU_ASSERT_EQUAL (e.kind, ERR_CORRUPT);
	write_file (dir, "log", log, len);
	write_file (dir, "snapshot", "x", 1);
	CU_ASSERT_EQUAL (count_entries (dir, &e), -1);
	CU_ASSERT_EQUAL (e.kind, ERR_CORRUPT);
	write_file (dir, "identity", "x", 1);
	CU_ASSERT_EQUAL (count_entries (dir, &e), -1);
	CU_ASSERT_EQUAL (e.kind, ERR_CORRUPT);
	g_free (log);
	folder_free (dir);
}

/* Which call fails, and how. */
struct fault {
	const char *name;
	char call; /* w, s, d (sync of a whole file or folder), r */
	int error;
	bool half; /* half of a write arrives first */
	bool snapshot;
	enum err_kind kind;
};

static ssize_t
faulty_write (int fd, const void *data, size_t len, void *ctx)
{
	struct fault *f = ctx;

	if (f->call != 'w')
		return write (fd, data, len);
	if (f->half && len > 1) {
		f->half = false;
		return write (fd, data, len / 2);
	}
	errno = f->error;
	return -1;
}

static int
faulty_sync (int fd, bool data_only, void *ctx)
{
	struct fault *f = ctx;

	(void)fd;
	if (f->call == (data_only ? 's' : 'd')) {
		errno = f->error;
		return -1;
	}
	return 0;
}

static int
faulty_rename (int dir_fd, const char *from, const char *to, void *ctx)
{
	struct fault *f = ctx;

	if (f->call == 'r') {
		errno = f->error;
		return -1;
	}
	return renameat (dir_fd, from, dir_fd, to);
}

static int
faulty_remove (int dir_fd, const char *name, void *ctx)
{
	(void)ctx;
	return unlinkat (dir_fd, name, 0);
}

static void
try_fault (struct fault f)
{
	static const struct wal_io io = {faulty_write, faulty_sync,
					 faulty_rename, faulty_remove};
	char *dir = folder_new ();
	struct raft_config config = {.count = 1};
	struct wal_snapshot snap = {2, 1, &config, "state", 5};
	struct raft_log log = {.entries = g_ptr_array_new ()};
	struct fault now = {.call = ' '};
	struct wal w;
	struct wal_state st;
	struct err e;

	two_batches (dir);
	CU_ASSERT_FATAL (wal_open (&w, dir, &io, &now, &st, &e));
	for (guint i = 0; i < st.entries->len; i++)
		g_ptr_array_add (log.entries,
				 g_ptr_array_index (st.entries, i));
	now = f;
	err_clear (&e);
	CU_ASSERT_FALSE (f.snapshot ? wal_snapshot (&w, &snap, &log, 1, &e)
				    : put (&w, 7, 9, &e));
	CU_ASSERT_EQUAL (e.kind, f.kind);
	/* The failure is final even where the cause is gone. */
	now.call = ' ';
	err_clear (&e);
	CU_ASSERT_FALSE (put (&w, 7, 9, &e));
	CU_ASSERT_EQUAL (e.kind, f.kind);
	CU_ASSERT_FALSE (wal_vote (&w, 9, 9, NULL));
	CU_ASSERT_FALSE (wal_snapshot (&w, &snap, &log, 1, NULL));
	wal_finish (&w);
	wal_state_finish (&st);
	g_ptr_array_free (log.entries, TRUE);
	/* What had been synced is there. */
	if (count_entries (dir, &e) < (f.snapshot ? 5 : 6)) {
		printf ("%s: entries are missing\n", f.name);
		CU_FAIL ("entries are missing");
	}
	folder_free (dir);
}

static void
test_faults (void)
{
	static const struct fault faults[] = {
		{"full", 'w', ENOSPC, false, false, ERR_FULL},
		{"full half way", 'w', ENOSPC, true, false, ERR_FULL},
		{"quota", 'w', EDQUOT, false, false, ERR_FULL},
		{"write error", 'w', EIO, true, false, ERR_IO},
		{"sync error", 's', EIO, false, false, ERR_IO},
		{"sync full", 's', ENOSPC, false, false, ERR_FULL},
		{"snapshot full", 'w', ENOSPC, true, true, ERR_FULL},
		{"snapshot sync", 'd', EIO, false, true, ERR_IO},
		{"snapshot rename", 'r', EIO, false, true, ERR_IO},
	};

	for (unsigned i = 0; i < sizeof faults / sizeof *faults; i++)
		try_fault (faults[i]);
}

static void
test_snapshot (void)
{
	char *dir = folder_new ();
	struct raft_config config = {.count = 1, .members = {{.id = 77}}};
	struct wal_snapshot snap = {4, 1, &config, "the state", 9};
	struct raft_log log = {0};
	struct msg_bytes chunk;
	struct wal w;
	struct wal_state st;
	struct err e;
	bool last;
	char *old;
	char *path;
	gsize old_len;

	two_batches (dir);
	CU_ASSERT_FATAL (wal_open (&w, dir, NULL, NULL, &st, &e));
	log.entries = st.entries;
	CU_ASSERT (wal_vote (&w, 3, 77, &e));
	CU_ASSERT (wal_snapshot (&w, &snap, &log, 2, &e));
	CU_ASSERT (wal_chunk (&w, 4, 3, &chunk, &last, &e));
	CU_ASSERT (chunk.len == 3 && memcmp (chunk.data, "sta", 3) == 0);
	CU_ASSERT_FALSE (last);
	CU_ASSERT (wal_chunk (&w, 7, 100, &chunk, &last, &e));
	CU_ASSERT (chunk.len == 2 && last);
	CU_ASSERT (put (&w, 7, 7, &e));
	wal_finish (&w);
	wal_state_finish (&st);
	CU_ASSERT_FATAL (wal_open (&w, dir, NULL, NULL, &st, &e));
	CU_ASSERT (st.snap_index == 4 && st.base == 2 && st.base_term == 1);
	CU_ASSERT (st.term == 3 && st.vote == 77);
	CU_ASSERT_EQUAL (st.entries->len, 5);
	CU_ASSERT_EQUAL (st.snap_config.members[0].id, 77);
	CU_ASSERT (st.snap_data->len == 9 &&
		   memcmp (st.snap_data->data, "the state", 9) == 0);
	wal_state_finish (&st);
	/* Installed, with a crash before the log was replaced. */
	old = read_file (dir, "log", &old_len);
	snap.index = 20;
	snap.term = 3;
	CU_ASSERT (wal_install (&w, &snap, &e));
	wal_finish (&w);
	write_file (dir, "log", old, old_len);
	CU_ASSERT_FATAL (wal_open (&w, dir, NULL, NULL, &st, &e));
	CU_ASSERT (st.snap_index == 20 && st.base == 20 && st.base_term == 3);
	CU_ASSERT (st.entries->len == 0 && st.term == 3);
	CU_ASSERT (put (&w, 21, 22, &e));
	wal_finish (&w);
	wal_state_finish (&st);
	CU_ASSERT_EQUAL (count_entries (dir, &e), 2);
	/* A log that starts after the snapshot has lost entries. */
	path = g_build_filename (dir, "snapshot", NULL);
	CU_ASSERT_EQUAL (g_unlink (path), 0);
	CU_ASSERT_EQUAL (count_entries (dir, &e), -1);
	CU_ASSERT_EQUAL (e.kind, ERR_CORRUPT);
	g_free (path);
	g_free (old);
	folder_free (dir);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"round trip", test_round_trip},
		{"a torn tail is cut", test_torn_tail},
		{"damage stops the start", test_damage_stops_the_start},
		{"failed writes are final", test_faults},
		{"snapshots", test_snapshot},
		{NULL, NULL},
	};

	return t_run ("wal", cases);
}
