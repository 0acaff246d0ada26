#ifndef DH_WAL_PRIV_H
#define DH_WAL_PRIV_H

#include "wal.h"

/* What the files of the wal module give each other. */

#define WAL_LOG "log"
#define WAL_SNAPSHOT "snapshot"
#define WAL_IDENTITY "identity"
#define WAL_LOCK "lock"
#define WAL_TMP ".tmp" /* ends the name of a file that is being written */

/* enum wal_type - record types; numbers are never reused */
enum wal_type {
	WAL_BASE = 1,
	WAL_VOTE = 2,
	WAL_ENTRY = 3,
	WAL_TRUNCATE = 4,
	WAL_SNAP = 5,
};

#define WAL_LAST 1 /* flag: the batch ends with this record */

/* struct wal_head - the head of a record, little-endian on disk */
struct wal_head {
	uint32_t magic;
	uint32_t len;
	uint32_t crc;
	uint8_t type;
	uint8_t flags;
	uint16_t zero;
	uint64_t batch;
};

/* struct wal_pair - the body of every small record */
struct wal_pair {
	uint64_t a;
	uint64_t b;
};

extern const struct msg_field wal_pair_fields[];

/* wal_rec.c */
void wal_rec_add (GByteArray *out, uint8_t type, uint8_t flags, uint64_t batch,
		  const struct msg_field *fields, const void *obj);
void wal_rec_flag (GByteArray *out, size_t offset, uint8_t flags);
/* The record at the front of @data; false where it is bad. */
bool wal_rec_read (const uint8_t *data, size_t len, struct wal_head *h,
		   const uint8_t **body);
/* Whether a good record of a batch later than @batch stands in @data. */
bool wal_rec_later (const uint8_t *data, size_t len, uint64_t batch);

/* wal_file.c */
bool wal_fail (struct wal *w, struct err *e, const char *doing,
	       const char *name);
bool wal_write_all (struct wal *w, int fd, const void *data, size_t len);
/* Write @name.tmp, sync it, rename it to @name and sync the folder. */
bool wal_replace (struct wal *w, const char *name, const GByteArray *data,
		  struct err *e);
/* Remove a file; true where there is none. */
bool wal_remove (struct wal *w, const char *name, struct err *e);
/* Remove the files whose writing did not come to its end. */
bool wal_remove_temporary (struct wal *w, struct err *e);
/* The whole of a file; NULL with ERR_NOT_FOUND or ERR_IO. */
GByteArray *wal_slurp (int dir_fd, const char *name, struct err *e);

/* wal_load.c */
/* Reads the log alone. */
bool wal_load_log (struct wal *w, struct wal_state *st, struct err *e);
bool wal_load (struct wal *w, struct wal_state *st, struct err *e);
bool wal_rewrite (struct wal *w, uint64_t base, uint64_t base_term,
		  GPtrArray *entries, guint from, struct err *e);
bool wal_open_snapshot (struct wal *w, uint64_t len, struct err *e);

#endif
