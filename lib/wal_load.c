/*
 * Reading a data folder at the start, and writing its log anew.
 */
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "log.h"
#include "wal_priv.h"

struct snap_body {
	uint64_t index;
	uint64_t term;
	struct msg_bytes config;
	struct msg_bytes data;
};

static const struct msg_field snap_fields[] = {
	MSG_FIELD (1, MSG_U64, struct snap_body, index),
	MSG_FIELD (2, MSG_U64, struct snap_body, term),
	MSG_FIELD_BYTES (3, struct snap_body, config, 16384),
	MSG_FIELD_BYTES (4, struct snap_body, data, RAFT_SNAPSHOT_MAX_BYTES),
	MSG_FIELD_END,
};

static bool
damaged (struct err *e, const char *name, size_t offset, const char *what)
{
	return err_set (e, ERR_CORRUPT,
			"%s in the data folder is damaged at byte %zu: %s",
			name, offset, what);
}

/* ---- the log ---- */

static bool
load_entry (struct wal_state *st, const uint8_t *body, size_t len)
{
	struct raft_entry entry;
	struct raft_entry *copy;
	msgpack_zone zone;
	bool ok;

	msgpack_zone_init (&zone, 256);
	ok = msg_unpack (raft_entry_fields, body, len, &entry, &zone, NULL) &&
	     entry.index == st->base + st->entries->len + 1;
	if (ok) {
		copy = g_malloc (sizeof *copy + entry.data.len);
		*copy = entry;
		copy->data.data = (uint8_t *)(copy + 1);
		if (entry.data.len > 0)
			memcpy (copy + 1, entry.data.data, entry.data.len);
		g_ptr_array_add (st->entries, copy);
	}
	msgpack_zone_destroy (&zone);
	return ok;
}

static bool
load_pair (struct wal_state *st, const struct wal_head *h, const uint8_t *body)
{
	struct wal_pair p;
	msgpack_zone zone;
	bool ok;

	msgpack_zone_init (&zone, 256);
	ok = msg_unpack (wal_pair_fields, body, h->len, &p, &zone, NULL);
	msgpack_zone_destroy (&zone);
	if (!ok)
		return false;
	if (h->type == WAL_BASE) {
		st->base = p.a;
		st->base_term = p.b;
	} else if (h->type == WAL_VOTE) {
		st->term = p.a;
		st->vote = p.b;
	} else if (h->type == WAL_TRUNCATE) {
		if (p.a <= st->base || p.a > st->base + st->entries->len + 1)
			return false;
		g_ptr_array_set_size (st->entries, (gint)(p.a - st->base - 1));
	} else {
		return false;
	}
	return true;
}

static bool
load_log (struct wal *w, struct wal_state *st, const GByteArray *log,
	  struct err *e)
{
	bool batch_ended = true;
	size_t at = 0;

	while (at < log->len) {
		struct wal_head h;
		const uint8_t *body;

		if (!wal_rec_read (log->data + at, log->len - at, &h, &body)) {
			uint64_t bad = w->batch_no + (batch_ended ? 1 : 0);

			if (at == 0 || wal_rec_later (log->data + at + 1,
						      log->len - at - 1, bad))
				return damaged (e, WAL_LOG, at, "bad record");
			st->cut_bytes = log->len - at;
			return true;
		}
		if (at == 0 && h.type != WAL_BASE)
			return damaged (e, WAL_LOG, at, "no base record");
		if (h.type == WAL_ENTRY ? !load_entry (st, body, h.len)
					: !load_pair (st, &h, body))
			return damaged (e, WAL_LOG, at, "record out of place");
		w->batch_no = h.batch;
		batch_ended = (h.flags & WAL_LAST) != 0;
		at += sizeof h + h.len;
	}
	if (!batch_ended)
		st->cut_bytes = 1; /* records missing, none torn */
	return at > 0 || damaged (e, WAL_LOG, 0, "empty");
}

bool
wal_rewrite (struct wal *w, uint64_t base, uint64_t base_term,
	     GPtrArray *entries, guint from, struct err *e)
{
	struct wal_pair head = {base, base_term};
	struct wal_pair vote = {w->term, w->vote};
	GByteArray *out = g_byte_array_new ();
	size_t last = 0;
	bool ok;

	w->batch_no++;
	wal_rec_add (out, WAL_BASE, 0, w->batch_no, wal_pair_fields, &head);
	for (guint i = from; entries != NULL && i < entries->len; i++)
		wal_rec_add (out, WAL_ENTRY, 0, w->batch_no, raft_entry_fields,
			     g_ptr_array_index (entries, i));
	last = out->len;
	wal_rec_add (out, WAL_VOTE, 0, w->batch_no, wal_pair_fields, &vote);
	wal_rec_flag (out, last, WAL_LAST);
	ok = wal_replace (w, WAL_LOG, out, e);
	g_byte_array_free (out, TRUE);
	if (!ok)
		return false;
	if (w->log_fd >= 0)
		close (w->log_fd);
	w->log_fd =
		openat (w->dir_fd, WAL_LOG, O_WRONLY | O_APPEND | O_CLOEXEC);
	g_byte_array_set_size (w->batch, 0);
	return w->log_fd >= 0 || wal_fail (w, e, "open", WAL_LOG);
}

/* ---- the snapshot ---- */

bool
wal_open_snapshot (struct wal *w, uint64_t len, struct err *e)
{
	off_t size;

	if (w->snap_fd >= 0)
		close (w->snap_fd);
	w->snap_fd = openat (w->dir_fd, WAL_SNAPSHOT, O_RDONLY | O_CLOEXEC);
	if (w->snap_fd < 0)
		return wal_fail (w, e, "open", WAL_SNAPSHOT);
	size = lseek (w->snap_fd, 0, SEEK_END);
	/* The state is the last field of the only record. */
	w->snap_offset = (uint64_t)size - len;
	w->snap_len = len;
	return true;
}

static bool
write_snapshot (struct wal *w, const struct wal_snapshot *s, struct err *e)
{
	struct snap_body body = {.index = s->index, .term = s->term};
	GByteArray *out;
	msgpack_sbuffer config;
	bool ok;

	msgpack_sbuffer_init (&config);
	raft_config_pack (s->config, &config);
	body.config.data = (const uint8_t *)config.data;
	body.config.len = (uint32_t)config.size;
	body.data.data = s->data;
	body.data.len = (uint32_t)s->len;
	out = g_byte_array_new ();
	wal_rec_add (out, WAL_SNAP, WAL_LAST, 0, snap_fields, &body);
	ok = wal_replace (w, WAL_SNAPSHOT, out, e);
	g_byte_array_free (out, TRUE);
	msgpack_sbuffer_destroy (&config);
	return ok && wal_open_snapshot (w, s->len, e);
}

static bool
load_snapshot (struct wal *w, struct wal_state *st, struct err *e)
{
	struct err why;
	GByteArray *file = wal_slurp (w->dir_fd, WAL_SNAPSHOT, &why);
	struct wal_head h;
	struct snap_body s;
	const uint8_t *body;
	msgpack_zone zone;
	bool ok;

	if (file == NULL) {
		return why.kind == ERR_NOT_FOUND ||
		       err_set (e, why.kind, "%s", why.msg);
	}
	msgpack_zone_init (&zone, 1024);
	ok = wal_rec_read (file->data, file->len, &h, &body) &&
	     h.type == WAL_SNAP && sizeof h + h.len == file->len &&
	     msg_unpack (snap_fields, body, h.len, &s, &zone, NULL) &&
	     raft_config_unpack (&st->snap_config, s.config.data, s.config.len,
				 NULL);
	if (ok) {
		st->snap_index = s.index;
		st->snap_term = s.term;
		g_byte_array_append (st->snap_data, s.data.data, s.data.len);
	}
	msgpack_zone_destroy (&zone);
	g_byte_array_free (file, TRUE);
	if (!ok)
		return damaged (e, WAL_SNAPSHOT, 0, "bad record");
	return wal_open_snapshot (w, st->snap_data->len, e);
}

/* Return: whether the log continues the snapshot; a crash between the two
 * renames of an installed snapshot leaves one that does not. */
static bool
log_continues (const struct wal_state *st)
{
	uint64_t last = st->base + st->entries->len;
	const struct raft_entry *at;

	if (st->snap_index <= st->base)
		return true;
	if (st->snap_index > last)
		return false;
	at = g_ptr_array_index (st->entries, st->snap_index - st->base - 1);
	return at->term == st->snap_term;
}

bool
wal_load_log (struct wal *w, struct wal_state *st, struct err *e)
{
	GByteArray *log = wal_slurp (w->dir_fd, WAL_LOG, e);
	bool ok;

	if (log == NULL)
		return false;
	ok = load_log (w, st, log, e);
	g_byte_array_free (log, TRUE);
	return ok;
}

bool
wal_load (struct wal *w, struct wal_state *st, struct err *e)
{
	if (!wal_load_log (w, st, e) || !load_snapshot (w, st, e))
		return false;
	if (st->base > st->snap_index)
		return damaged (e, WAL_LOG, 0,
				"starts after the snapshot's end");
	w->term = st->term;
	w->vote = st->vote;
	if (!log_continues (st)) {
		g_ptr_array_set_size (st->entries, 0);
		st->base = st->snap_index;
		st->base_term = st->snap_term;
		return wal_rewrite (w, st->base, st->base_term, NULL, 0, e);
	}
	if (st->cut_bytes == 0)
		return true;
	log_event (LOG_LV_WARN, "wal-cut",
		   "bytes=%" G_GUINT64_FORMAT " last=%" G_GUINT64_FORMAT
		   " why=torn-tail",
		   st->cut_bytes, st->base + st->entries->len);
	return wal_rewrite (w, st->base, st->base_term, st->entries, 0, e);
}

bool
wal_snapshot (struct wal *w, const struct wal_snapshot *s,
	      const struct raft_log *log, uint64_t base, struct err *e)
{
	uint64_t base_term = log->base_term;

	if (w->failed.kind != ERR_NONE)
		return wal_fail (w, e, "write", WAL_SNAPSHOT);
	if (base > log->base) {
		const struct raft_entry *at =
			g_ptr_array_index (log->entries, base - log->base - 1);

		base_term = at->term;
	}
	return write_snapshot (w, s, e) &&
	       wal_rewrite (w, base, base_term, log->entries,
			    (guint)(base - log->base), e);
}

bool
wal_install (struct wal *w, const struct wal_snapshot *s, struct err *e)
{
	if (w->failed.kind != ERR_NONE)
		return wal_fail (w, e, "write", WAL_SNAPSHOT);
	return write_snapshot (w, s, e) &&
	       wal_rewrite (w, s->index, s->term, NULL, 0, e);
}

bool
wal_chunk (struct wal *w, uint64_t offset, size_t max, struct msg_bytes *chunk,
	   bool *last, struct err *e)
{
	uint64_t left = w->snap_len - MIN (offset, w->snap_len);
	size_t want = MIN (left, MIN (max, WAL_CHUNK_MAX_BYTES));

	if (w->snap_fd < 0)
		return err_set (e, ERR_NOT_FOUND, "no snapshot");
	g_byte_array_set_size (w->chunk, (guint)want);
	if (want > 0 &&
	    pread (w->snap_fd, w->chunk->data, want,
		   (off_t)(w->snap_offset + offset)) != (ssize_t)want)
		return wal_fail (w, e, "read", WAL_SNAPSHOT);
	chunk->data = w->chunk->data;
	chunk->len = (uint32_t)want;
	*last = want == left;
	return true;
}
