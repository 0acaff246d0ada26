/*
 * Files in the data folder: writing whole, replacing by rename, reading.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "wal_priv.h"

static ssize_t
posix_write (int fd, const void *data, size_t len, void *ctx)
{
	(void)ctx;
	return write (fd, data, len);
}

static int
posix_sync (int fd, bool data_only, void *ctx)
{
	(void)ctx;
	return data_only ? fdatasync (fd) : fsync (fd);
}

static int
posix_rename (int dir_fd, const char *from, const char *to, void *ctx)
{
	(void)ctx;
	return renameat (dir_fd, from, dir_fd, to);
}

static int
posix_remove (int dir_fd, const char *name, void *ctx)
{
	(void)ctx;
	return unlinkat (dir_fd, name, 0);
}

const struct wal_io wal_io_posix = {
	.write = posix_write,
	.sync = posix_sync,
	.rename = posix_rename,
	.remove = posix_remove,
};

/* Records the first failure, from errno; every later call ends here too. */
bool
wal_fail (struct wal *w, struct err *e, const char *doing, const char *name)
{
	if (w->failed.kind == ERR_NONE) {
		bool full = errno == ENOSPC || errno == EDQUOT;

		err_set (&w->failed, full ? ERR_FULL : ERR_IO,
			 "%s %s in the data folder: %s", doing, name,
			 strerror (errno));
	}
	if (e != NULL)
		*e = w->failed;
	return false;
}

bool
wal_write_all (struct wal *w, int fd, const void *data, size_t len)
{
	const uint8_t *p = data;

	while (len > 0) {
		ssize_t n = w->io->write (fd, p, len, w->io_ctx);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0) {
			errno = n == 0 ? EIO : errno;
			return false;
		}
		p += n;
		len -= (size_t)n;
	}
	return true;
}

bool
wal_replace (struct wal *w, const char *name, const GByteArray *data,
	     struct err *e)
{
	char tmp[64];
	bool ok;
	int fd;

	(void)snprintf (tmp, sizeof tmp, "%s" WAL_TMP, name);
	fd = openat (w->dir_fd, tmp, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
		     0600);
	if (fd < 0)
		return wal_fail (w, e, "create", tmp);
	ok = wal_write_all (w, fd, data->data, data->len) &&
	     w->io->sync (fd, false, w->io_ctx) == 0;
	if (!ok)
		wal_fail (w, e, "write", tmp);
	close (fd);
	if (!ok)
		return false;
	if (w->io->rename (w->dir_fd, tmp, name, w->io_ctx) != 0)
		return wal_fail (w, e, "rename", tmp);
	if (w->io->sync (w->dir_fd, false, w->io_ctx) != 0)
		return wal_fail (w, e, "sync the folder after", name);
	return true;
}

bool
wal_remove (struct wal *w, const char *name, struct err *e)
{
	if (w->io->remove (w->dir_fd, name, w->io_ctx) != 0 && errno != ENOENT)
		return wal_fail (w, e, "remove", name);
	return true;
}

bool
wal_remove_temporary (struct wal *w, struct err *e)
{
	return wal_remove (w, WAL_LOG WAL_TMP, e) &&
	       wal_remove (w, WAL_SNAPSHOT WAL_TMP, e) &&
	       wal_remove (w, WAL_IDENTITY WAL_TMP, e);
}

GByteArray *
wal_slurp (int dir_fd, const char *name, struct err *e)
{
	int fd = openat (dir_fd, name, O_RDONLY | O_CLOEXEC);
	GByteArray *out;
	struct stat st;
	size_t have = 0;

	if (fd < 0) {
		err_set (e, errno == ENOENT ? ERR_NOT_FOUND : ERR_IO,
			 "open %s in the data folder: %s", name,
			 strerror (errno));
		return NULL;
	}
	out = g_byte_array_new ();
	if (fstat (fd, &st) == 0)
		g_byte_array_set_size (out, (guint)st.st_size);
	while (have < out->len) {
		ssize_t n = read (fd, out->data + have, out->len - have);

		if (n <= 0)
			break;
		have += (size_t)n;
	}
	close (fd);
	if (have < out->len) {
		err_set (e, ERR_IO, "read %s in the data folder: %s", name,
			 strerror (errno));
		g_byte_array_free (out, TRUE);
		return NULL;
	}
	return out;
}
