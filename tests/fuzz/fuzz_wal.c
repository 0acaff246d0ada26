/*
 * A data folder with any log and snapshot.  The first byte chooses the file,
 * and whether the rest stands in it as it is or as bodies of records whose
 * checksums are right.  A folder that opens once opens again to the same.
 */
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "fuzz.h"
#include "wal_priv.h"

#define RAW 1
#define SNAPSHOT 2

/* One folder for the whole run: making one takes several syncs. */
static char *dir;
static char *first_log;
static gsize first_log_len;

static void
folder_free (void)
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
	g_free (first_log);
}

static void
folder_new (void)
{
	struct err e;
	char *path;

	dir = g_dir_make_tmp ("dh-fuzz-XXXXXX", NULL);
	FUZZ_CHECK (dir != NULL &&
		    wal_create (dir, 7, NULL, NULL, NULL, NULL, &e));
	path = g_build_filename (dir, WAL_LOG, NULL);
	FUZZ_CHECK (
		g_file_get_contents (path, &first_log, &first_log_len, NULL));
	g_free (path);
	FUZZ_CHECK (atexit (folder_free) == 0);
}

/* Type, flags and batch from one byte, length from the next, then the body. */
static void
add_records (GByteArray *out, const uint8_t *p, size_t len)
{
	const struct wal_pair zero = {0};
	struct wal_head head;
	GByteArray *sample = g_byte_array_new ();

	wal_rec_add (sample, WAL_BASE, 0, 0, wal_pair_fields, &zero);
	memcpy (&head, sample->data, sizeof head);
	g_byte_array_free (sample, TRUE);
	while (len >= 2) {
		size_t n = MIN ((size_t)p[1], len - 2);
		size_t offset = out->len;

		head.type = p[0] & 7;
		head.batch = GUINT64_TO_LE ((uint64_t)(p[0] >> 4));
		head.len = GUINT32_TO_LE ((uint32_t)n);
		g_byte_array_append (out, (const guint8 *)&head, sizeof head);
		g_byte_array_append (out, p + 2, (guint)n);
		wal_rec_flag (out, offset, (p[0] >> 3) & 1);
		p += 2 + n;
		len -= 2 + n;
	}
}

static void
put_file (const char *name, const void *data, size_t len)
{
	char *path = g_build_filename (dir, name, NULL);
	int fd = open (path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);

	FUZZ_CHECK (fd >= 0 && write (fd, data, len) == (ssize_t)len);
	close (fd);
	g_free (path);
}

static void
fill_folder (const uint8_t *data, size_t len)
{
	GByteArray *bytes = g_byte_array_new ();
	char *path = g_build_filename (dir, WAL_SNAPSHOT, NULL);

	if ((data[0] & RAW) != 0)
		g_byte_array_append (bytes, data + 1, (guint)len - 1);
	else
		add_records (bytes, data + 1, len - 1);
	if ((data[0] & SNAPSHOT) != 0) {
		put_file (WAL_LOG, first_log, first_log_len);
		put_file (WAL_SNAPSHOT, bytes->data, bytes->len);
	} else {
		g_unlink (path);
		put_file (WAL_LOG, bytes->data, bytes->len);
	}
	g_byte_array_free (bytes, TRUE);
	g_free (path);
}

static bool
open_folder (uint64_t seen[4])
{
	struct wal_state st;
	struct wal w;
	struct err e = {.kind = ERR_NONE};
	bool ok = wal_open (&w, dir, NULL, NULL, &st, &e);

	if (ok) {
		seen[0] = st.base;
		seen[1] = st.term;
		seen[2] = st.entries->len;
		seen[3] = st.snap_index;
		wal_finish (&w);
	} else {
		FUZZ_CHECK (e.kind != ERR_NONE);
	}
	wal_state_finish (&st);
	return ok;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t len)
{
	uint64_t first[4], second[4];

	if (len == 0)
		return 0;
	if (dir == NULL)
		folder_new ();
	fill_folder (data, len);
	if (open_folder (first)) {
		FUZZ_CHECK (open_folder (second));
		FUZZ_CHECK (memcmp (first, second, sizeof first) == 0);
	}
	return 0;
}
