/*
 * A member's data folder: making it, locking it, and the batches of records
 * that are written and synced as one.
 */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#include "log.h"
#include "wal_priv.h"

/* The log of a new member holds no vote and at most the group and the first
 * command. */
#define FIRST_TERM 1
#define FIRST_ENTRIES 2

static void
wal_state_init (struct wal_state *st)
{
	memset (st, 0, sizeof *st);
	st->entries = g_ptr_array_new_with_free_func (g_free);
	st->snap_data = g_byte_array_new ();
}

static void
wal_zero (struct wal *w, const struct wal_io *io, void *io_ctx)
{
	memset (w, 0, sizeof *w);
	w->dir_fd = w->lock_fd = w->log_fd = w->snap_fd = -1;
	w->io = io != NULL ? io : &wal_io_posix;
	w->io_ctx = io_ctx;
	w->batch = g_byte_array_new ();
	w->chunk = g_byte_array_new ();
}

void
wal_finish (struct wal *w)
{
	int fds[] = {w->log_fd, w->snap_fd, w->lock_fd, w->dir_fd};

	for (unsigned i = 0; i < sizeof fds / sizeof *fds; i++) {
		if (fds[i] >= 0)
			close (fds[i]);
	}
	w->dir_fd = w->lock_fd = w->log_fd = w->snap_fd = -1;
	g_byte_array_free (w->batch, TRUE);
	g_byte_array_free (w->chunk, TRUE);
	w->batch = w->chunk = NULL;
}

static bool
lock_folder (struct wal *w, const char *dir, struct err *e)
{
	w->dir_fd = open (dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (w->dir_fd < 0)
		return err_set (e, ERR_IO, "open data folder %s: %s", dir,
				strerror (errno));
	w->lock_fd = openat (w->dir_fd, WAL_LOCK, O_RDWR | O_CREAT | O_CLOEXEC,
			     0600);
	if (w->lock_fd < 0)
		return err_set (e, ERR_IO, "open lock in %s: %s", dir,
				strerror (errno));
	if (flock (w->lock_fd, LOCK_EX | LOCK_NB) != 0)
		return err_set (e, ERR_CONFLICT,
				"data folder %s is in use by another process",
				dir);
	return true;
}

static bool
is_temporary (const char *name)
{
	return strcmp (name, WAL_LOG WAL_TMP) == 0 ||
	       strcmp (name, WAL_SNAPSHOT WAL_TMP) == 0 ||
	       strcmp (name, WAL_IDENTITY WAL_TMP) == 0;
}

/* Refuses a folder that holds anything but a log and unfinished files. */
static bool
check_names (const char *dir, bool *has_log, struct err *e)
{
	DIR *d = opendir (dir);
	const struct dirent *f;
	bool ok = true;

	*has_log = false;
	if (d == NULL)
		return err_set (e, ERR_IO, "open data folder %s: %s", dir,
				strerror (errno));
	while (ok && (f = readdir (d)) != NULL) {
		if (strcmp (f->d_name, ".") == 0 ||
		    strcmp (f->d_name, "..") == 0 ||
		    strcmp (f->d_name, WAL_LOCK) == 0 ||
		    is_temporary (f->d_name))
			continue;
		if (strcmp (f->d_name, WAL_LOG) == 0)
			*has_log = true;
		else
			ok = err_set (e, ERR_CONFLICT,
				      "data folder %s is not empty: holds %s",
				      dir, f->d_name);
	}
	closedir (d);
	return ok;
}

/* Whether the log is as write_first_log() makes it, whole.  A torn end may have
 * been a vote.  A member changes its term
 * or vote before it promises anything. */
static bool
is_first_log (const struct wal_state *st)
{
	return st->cut_bytes == 0 && st->base == 0 && st->term <= FIRST_TERM &&
	       st->vote == 0 && st->entries->len <= FIRST_ENTRIES;
}

/* Removes what a wal_create() left that did not come to its end. */
static bool
discard_unfinished (struct wal *w, const char *dir, struct err *e)
{
	struct wal_state st;
	bool has_log, ok;

	if (!check_names (dir, &has_log, e))
		return false;
	if (has_log) {
		wal_state_init (&st);
		ok = wal_load_log (w, &st, e) &&
		     (is_first_log (&st) ||
		      err_set (
			      e, ERR_CONFLICT,
			      "data folder %s holds the %s of a member, but no "
			      "%s",
			      dir, WAL_LOG, WAL_IDENTITY));
		wal_state_finish (&st);
		w->batch_no = 0;
		if (!ok)
			return false;
		log_event (LOG_LV_WARN, "wal-discard",
			   "file=%s why=\"it was never used\"", WAL_LOG);
	}
	return wal_remove_temporary (w, e) && wal_remove (w, WAL_LOG, e);
}

static bool
write_first_log (struct wal *w, const struct raft_config *config,
		 const struct msg_bytes *command, struct err *e)
{
	struct raft_entry group = {
		.index = 1, .term = FIRST_TERM, .kind = RAFT_ENTRY_CONFIG};
	struct raft_entry first = {
		.index = 2, .term = FIRST_TERM, .kind = RAFT_ENTRY_COMMAND};
	GPtrArray *entries = g_ptr_array_new ();
	msgpack_sbuffer buf;
	bool ok;

	msgpack_sbuffer_init (&buf);
	if (config != NULL) {
		raft_config_pack (config, &buf);
		group.data.data = (const uint8_t *)buf.data;
		group.data.len = (uint32_t)buf.size;
		g_ptr_array_add (entries, &group);
		w->term = FIRST_TERM;
	}
	if (command != NULL) {
		first.data = *command;
		g_ptr_array_add (entries, &first);
	}
	ok = wal_rewrite (w, 0, 0, entries, 0, e);
	g_ptr_array_free (entries, TRUE);
	msgpack_sbuffer_destroy (&buf);
	return ok;
}

bool
wal_create (const char *dir, uint64_t id, const struct raft_config *config,
	    const struct msg_bytes *command, const struct wal_io *io,
	    void *io_ctx, struct err *e)
{
	GByteArray *text = g_byte_array_new ();
	struct wal w;
	char line[64];
	int n;
	bool ok;

	n = snprintf (
		line, sizeof line,
		"dragonflyhinge member 1\nid %016" G_GINT64_MODIFIER "x\n", id);
	g_byte_array_append (text, (const guint8 *)line, (guint)n);
	wal_zero (&w, io, io_ctx);
	ok = lock_folder (&w, dir, e) && discard_unfinished (&w, dir, e) &&
	     write_first_log (&w, config, command, e) &&
	     wal_replace (&w, WAL_IDENTITY, text, e);
	g_byte_array_free (text, TRUE);
	wal_finish (&w);
	return ok;
}

static bool
load_identity (struct wal *w, const char *dir, uint64_t *id, struct err *e)
{
	struct err why;
	GByteArray *text = wal_slurp (w->dir_fd, WAL_IDENTITY, &why);
	static const char start[] = "dragonflyhinge member 1\nid ";
	char *end;
	bool ok;

	if (text == NULL && why.kind == ERR_NOT_FOUND)
		return err_set (e, ERR_NOT_FOUND,
				"data folder %s holds no member identity: "
				"make one with --init or --join",
				dir);
	if (text == NULL)
		return err_set (e, why.kind, "%s", why.msg);
	g_byte_array_append (text, (const guint8 *)"", 1);
	ok = g_str_has_prefix ((char *)text->data, start);
	if (ok) {
		*id = g_ascii_strtoull ((char *)text->data + sizeof start - 1,
					&end, 16);
		ok = *id != 0 && strcmp (end, "\n") == 0;
	}
	g_byte_array_free (text, TRUE);
	return ok ||
	       err_set (e, ERR_CORRUPT, "%s/%s is damaged", dir, WAL_IDENTITY);
}

/* What was read may have been written, or renamed, and not been synced when an
 * earlier process was killed. */
static bool
sync_loaded (struct wal *w, struct err *e)
{
	if (w->io->sync (w->log_fd, false, w->io_ctx) != 0)
		return wal_fail (w, e, "sync", WAL_LOG);
	if (w->io->sync (w->dir_fd, false, w->io_ctx) != 0)
		return wal_fail (w, e, "sync the folder of", WAL_LOG);
	return true;
}

bool
wal_open (struct wal *w, const char *dir, const struct wal_io *io, void *io_ctx,
	  struct wal_state *st, struct err *e)
{
	wal_zero (w, io, io_ctx);
	wal_state_init (st);
	if (!lock_folder (w, dir, e) || !load_identity (w, dir, &st->id, e) ||
	    !wal_load (w, st, e))
		goto fail;
	if (w->log_fd < 0)
		w->log_fd = openat (w->dir_fd, WAL_LOG,
				    O_WRONLY | O_APPEND | O_CLOEXEC);
	if (w->log_fd < 0) {
		wal_fail (w, e, "open", WAL_LOG);
		goto fail;
	}
	if (!wal_remove_temporary (w, e) || !sync_loaded (w, e))
		goto fail;
	return true;
fail:
	wal_finish (w);
	return false;
}

void
wal_state_finish (struct wal_state *st)
{
	g_ptr_array_free (st->entries, TRUE);
	g_byte_array_free (st->snap_data, TRUE);
	st->entries = NULL;
	st->snap_data = NULL;
}

static bool
add_record (struct wal *w, uint8_t type, const struct msg_field *fields,
	    const void *obj, struct err *e)
{
	if (w->failed.kind != ERR_NONE)
		return wal_fail (w, e, "write", WAL_LOG);
	w->last_record = w->batch->len;
	wal_rec_add (w->batch, type, 0, w->batch_no + 1, fields, obj);
	return true;
}

bool
wal_append (struct wal *w, const struct raft_entry *entry, struct err *e)
{
	return add_record (w, WAL_ENTRY, raft_entry_fields, entry, e);
}

bool
wal_truncate (struct wal *w, uint64_t index, struct err *e)
{
	struct wal_pair p = {.a = index};

	return add_record (w, WAL_TRUNCATE, wal_pair_fields, &p, e);
}

bool
wal_vote (struct wal *w, uint64_t term, uint64_t vote, struct err *e)
{
	struct wal_pair p = {term, vote};

	w->term = term;
	w->vote = vote;
	return add_record (w, WAL_VOTE, wal_pair_fields, &p, e) &&
	       wal_sync (w, e);
}

bool
wal_sync (struct wal *w, struct err *e)
{
	if (w->failed.kind != ERR_NONE)
		return wal_fail (w, e, "write", WAL_LOG);
	if (w->batch->len == 0)
		return true;
	wal_rec_flag (w->batch, w->last_record, WAL_LAST);
	if (!wal_write_all (w, w->log_fd, w->batch->data, w->batch->len))
		return wal_fail (w, e, "write", WAL_LOG);
	if (w->io->sync (w->log_fd, true, w->io_ctx) != 0)
		return wal_fail (w, e, "sync", WAL_LOG);
	w->batch_no++;
	g_byte_array_set_size (w->batch, 0);
	return true;
}
