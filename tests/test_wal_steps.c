/*
 * A member that is killed, or whose disk fails, after any step of making its
 * data folder, of a snapshot or of a vote: it starts again, keeps what it
 * acknowledged, and takes no folder of another state for one that was never
 * used.
 */
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "t_run.h"
#include "wal.h"

#define STEPS_MAX 40

/* A disk on which only the first @left calls work. */
struct disk {
	uint32_t left;
	bool torn; /* half of the write arrives that doesn't work */
	bool over; /* a call has failed */
	off_t synced_bytes;
	uint32_t folder_syncs;
};

static bool
step (struct disk *d)
{
	if (d->left > 0) {
		d->left--;
		return true;
	}
	d->over = true;
	errno = EIO;
	return false;
}

static ssize_t
disk_write (int fd, const void *data, size_t len, void *ctx)
{
	struct disk *d = ctx;

	if (step (d))
		return write (fd, data, len);
	if (d->torn) {
		d->torn = false;
		(void)!write (fd, data, len / 2);
	}
	errno = EIO;
	return -1;
}

static int
disk_sync (int fd, bool data_only, void *ctx)
{
	struct disk *d = ctx;
	struct stat st;

	(void)data_only;
	if (!step (d))
		return -1;
	if (fstat (fd, &st) == 0 && S_ISREG (st.st_mode))
		d->synced_bytes = st.st_size;
	else
		d->folder_syncs++;
	return 0;
}

static int
disk_rename (int dir_fd, const char *from, const char *to, void *ctx)
{
	return step (ctx) ? renameat (dir_fd, from, dir_fd, to) : -1;
}

static int
disk_remove (int dir_fd, const char *name, void *ctx)
{
	return step (ctx) ? unlinkat (dir_fd, name, 0) : -1;
}

static const struct wal_io disk_io = {disk_write, disk_sync, disk_rename,
				      disk_remove};

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

static void
write_file (const char *dir, const char *name, const char *text)
{
	char *path = g_build_filename (dir, name, NULL);

	CU_ASSERT_FATAL (g_file_set_contents (path, text, -1, NULL));
	g_free (path);
}

static bool
put (struct wal *w, uint64_t index, uint64_t term, struct err *e)
{
	struct raft_entry entry = {
		.index = index, .term = term, .kind = RAFT_ENTRY_COMMAND};

	entry.data.data = (const uint8_t *)"abc";
	entry.data.len = 3;
	return wal_append (w, &entry, e) && wal_sync (w, e);
}

/* A start as the daemons do it: with the folder's identity, or a new one. */
static bool
start (const char *dir, uint64_t new_id, const struct raft_config *config,
       struct wal *w, struct wal_state *st, const struct wal_io *io, void *ctx,
       struct err *e)
{
	err_clear (e);
	if (wal_open (w, dir, io, ctx, st, e))
		return true;
	if (e->kind != ERR_NOT_FOUND)
		return false;
	wal_state_finish (st);
	err_clear (e);
	return wal_create (dir, new_id, config, NULL, io, ctx, e) &&
	       wal_open (w, dir, io, ctx, st, e);
}

/* A first start that was killed left a log without an identity, and no later
 * start succeeded. */
static void
try_first_start (uint32_t steps, bool torn, const struct raft_config *config,
		 bool *over)
{
	char *dir = folder_new ();
	struct disk d = {.left = steps, .torn = torn};
	struct wal_state st;
	struct wal w;
	struct err e = {0};
	bool ok;

	ok = wal_create (dir, 7, config, NULL, &disk_io, &d, &e);
	CU_ASSERT (ok == !d.over);
	*over = d.over;
	/* The second one ends in the middle as well. */
	d = (struct disk){.left = steps / 2, .torn = torn};
	if (start (dir, 8, config, &w, &st, &disk_io, &d, &e))
		wal_finish (&w);
	wal_state_finish (&st);
	ok = start (dir, 9, config, &w, &st, NULL, NULL, &e);
	if (!ok)
		printf ("after %u steps: %s\n", steps, e.msg);
	CU_ASSERT_FATAL (ok);
	CU_ASSERT (st.id == 7 || st.id == 8 || st.id == 9);
	CU_ASSERT_EQUAL (st.vote, 0);
	CU_ASSERT_EQUAL (st.entries->len, config != NULL ? 1 : 0);
	CU_ASSERT (put (&w, st.entries->len + 1, 2, &e));
	wal_finish (&w);
	wal_state_finish (&st);
	folder_free (dir);
}

static void
test_first_start_killed_after_any_step (void)
{
	static const struct raft_config config = {
		.count = 1, .members = {{.id = 7, .voter = true}}};
	bool over = true;
	uint32_t n;

	for (n = 0; n < STEPS_MAX && over; n++) {
		try_first_start (n, false, NULL, &over);
		try_first_start (n, true, NULL, &over);
		try_first_start (n, false, &config, &over);
		try_first_start (n, true, &config, &over);
	}
	CU_ASSERT (!over);
	CU_ASSERT (n > 8);
}

/* Whether the folder is refused, with a reason that names @file. */
static bool
is_refused (const char *dir, const char *file)
{
	struct wal_state st;
	struct wal w;
	struct err e;
	bool ok = start (dir, 9, NULL, &w, &st, NULL, NULL, &e);

	if (ok)
		wal_finish (&w);
	else if (strstr (e.msg, file) == NULL)
		printf ("not named: %s\n", e.msg);
	if (e.kind == ERR_CORRUPT || ok)
		wal_state_finish (&st);
	return !ok && strstr (e.msg, file) != NULL;
}

/* Folders without an identity that were used, or that hold something else. */
static void
test_folder_that_holds_state_is_not_discarded (void)
{
	struct {
		const char *file;
		uint64_t term, vote;
		uint32_t entries;
	} const cases[] = {
		{"log", 2, 7, 0}, /* it voted */
		{"log", 2, 0, 0}, /* it saw a later term */
		{"log", 1, 0, 3}, /* it holds entries of a leader */
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++) {
		char *dir = folder_new ();
		char *identity = g_build_filename (dir, "identity", NULL);
		struct wal_state st;
		struct wal w;
		struct err e;

		CU_ASSERT_FATAL (start (dir, 7, NULL, &w, &st, NULL, NULL, &e));
		CU_ASSERT (wal_vote (&w, cases[i].term, cases[i].vote, &e));
		for (uint32_t j = 0; j < cases[i].entries; j++)
			CU_ASSERT (put (&w, j + 1, 1, &e));
		wal_finish (&w);
		wal_state_finish (&st);
		CU_ASSERT (g_unlink (identity) == 0);
		CU_ASSERT (is_refused (dir, cases[i].file));
		CU_ASSERT (is_refused (dir, cases[i].file));
		g_free (identity);
		folder_free (dir);
	}
}

/* A vote whose record is damaged looks like the torn end of a log. */
static void
test_log_with_a_damaged_vote_is_not_discarded (void)
{
	char *dir = folder_new ();
	char *identity = g_build_filename (dir, "identity", NULL);
	char *log = g_build_filename (dir, "log", NULL);
	struct wal_state st;
	struct stat size;
	struct wal w;
	struct err e;

	CU_ASSERT_FATAL (start (dir, 7, NULL, &w, &st, NULL, NULL, &e));
	CU_ASSERT (wal_vote (&w, 2, 7, &e));
	wal_finish (&w);
	wal_state_finish (&st);
	CU_ASSERT (stat (log, &size) == 0);
	CU_ASSERT (truncate (log, size.st_size - 1) == 0);
	CU_ASSERT (g_unlink (identity) == 0);
	CU_ASSERT (is_refused (dir, "log"));
	g_free (identity);
	g_free (log);
	folder_free (dir);
}

static void
test_folder_of_another_kind_is_not_discarded (void)
{
	static const char *const names[] = {"log", "snapshot", "notes.txt"};

	for (unsigned i = 0; i < G_N_ELEMENTS (names); i++) {
		char *dir = folder_new (), *path;

		write_file (dir, names[i], "not ours\n");
		CU_ASSERT (is_refused (dir, names[i]));
		path = g_build_filename (dir, names[i], NULL);
		CU_ASSERT (g_file_test (path, G_FILE_TEST_EXISTS));
		g_free (path);
		folder_free (dir);
	}
}

/* Two entries and a vote are acknowledged; then a snapshot, the log anew, an
 * installed snapshot and another vote end after any step. */
static void
try_rewrites (uint32_t steps, bool torn, bool install, bool *over)
{
	static const struct raft_config config = {.count = 1};
	struct wal_snapshot snap = {2, 3, &config, "state", 5};
	struct raft_log log = {.entries = g_ptr_array_new ()};
	char *dir = folder_new ();
	struct disk d = {.left = 1000};
	struct wal_state st;
	struct wal w;
	struct err e;
	bool ok, voted;

	CU_ASSERT_FATAL (start (dir, 7, NULL, &w, &st, &disk_io, &d, &e));
	CU_ASSERT (wal_vote (&w, 3, 5, &e) && put (&w, 1, 3, &e) &&
		   put (&w, 2, 3, &e));
	wal_finish (&w);
	wal_state_finish (&st);
	CU_ASSERT_FATAL (start (dir, 9, NULL, &w, &st, &disk_io, &d, &e));
	for (guint i = 0; i < st.entries->len; i++)
		g_ptr_array_add (log.entries,
				 g_ptr_array_index (st.entries, i));
	d = (struct disk){.left = steps, .torn = torn};
	ok = install ? wal_install (&w, &snap, &e)
		     : wal_snapshot (&w, &snap, &log, 1, &e);
	voted = wal_vote (&w, 4, 6, &e);
	CU_ASSERT (ok || !voted);
	*over = d.over;
	wal_finish (&w);
	wal_state_finish (&st);
	ok = start (dir, 9, NULL, &w, &st, NULL, NULL, &e);
	if (!ok)
		printf ("after %u steps: %s\n", steps, e.msg);
	CU_ASSERT_FATAL (ok);
	CU_ASSERT_EQUAL (st.id, 7);
	CU_ASSERT_EQUAL (st.base + st.entries->len, 2);
	CU_ASSERT (st.base == 0 || st.snap_index >= st.base);
	CU_ASSERT (st.term == 4 ? st.vote == 6 : st.term == 3 && st.vote == 5);
	CU_ASSERT (!voted || st.term == 4);
	wal_finish (&w);
	wal_state_finish (&st);
	g_ptr_array_free (log.entries, TRUE);
	folder_free (dir);
}

static void
test_snapshot_and_vote_killed_after_any_step (void)
{
	bool over = true;

	for (uint32_t n = 0; n < STEPS_MAX && over; n++) {
		try_rewrites (n, false, false, &over);
		try_rewrites (n, true, false, &over);
		try_rewrites (n, false, true, &over);
		try_rewrites (n, true, true, &over);
	}
	CU_ASSERT (!over);
}

/* A log that was written, and not synced before a kill, was taken for durable
 * by the next start. */
static void
test_start_makes_durable_what_it_reads (void)
{
	char *dir = folder_new (), *path = g_build_filename (dir, "log", NULL);
	struct disk d = {.left = 1000};
	struct wal_state st;
	struct wal w;
	struct err e;
	guint read;

	CU_ASSERT_FATAL (start (dir, 7, NULL, &w, &st, &disk_io, &d, &e));
	CU_ASSERT (put (&w, 1, 2, &e));
	wal_state_finish (&st);
	d.left = 1; /* written, not synced */
	CU_ASSERT_FALSE (put (&w, 2, 2, &e));
	wal_finish (&w);

	d = (struct disk){.left = 1000};
	CU_ASSERT_FATAL (start (dir, 9, NULL, &w, &st, &disk_io, &d, &e));
	read = st.entries->len;
	wal_finish (&w);
	wal_state_finish (&st);
	CU_ASSERT (d.folder_syncs > 0);
	/* Power is lost: what was not synced is gone. */
	CU_ASSERT_FATAL (truncate (path, d.synced_bytes) == 0);
	CU_ASSERT_FATAL (start (dir, 9, NULL, &w, &st, NULL, NULL, &e));
	CU_ASSERT_EQUAL (st.entries->len, read);
	wal_finish (&w);
	wal_state_finish (&st);
	g_free (path);
	folder_free (dir);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"a first start is killed after any step",
		 test_first_start_killed_after_any_step},
		{"a folder that holds state is not discarded",
		 test_folder_that_holds_state_is_not_discarded},
		{"a log with a damaged vote is not discarded",
		 test_log_with_a_damaged_vote_is_not_discarded},
		{"a folder of another kind is not discarded",
		 test_folder_of_another_kind_is_not_discarded},
		{"a snapshot and a vote are killed after any step",
		 test_snapshot_and_vote_killed_after_any_step},
		{"a start makes durable what it reads",
		 test_start_makes_durable_what_it_reads},
		{NULL, NULL},
	};

	return t_run ("wal_steps", cases);
}
