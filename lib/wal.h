#ifndef DH_WAL_H
#define DH_WAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <glib.h>

#include "err.h"
#include "raft.h"

/*
 * A member's durable state in one data folder:
 *
 *   identity   the member's random id; written last when the folder is made
 *   log        records: base, term and vote, entries, truncations
 *   snapshot   the newest snapshot
 *   lock       held while a process uses the folder
 *
 * A record is a head (magic, length, CRC-32, type, flags, batch) and a
 * msgpack body.  The records between two syncs are one batch, and the last
 * one of a batch says so: a bad record with a later batch behind it was once
 * synced, so the folder is damaged; any other is the torn tail of a crash.
 */

#define WAL_CHUNK_MAX_BYTES RAFT_CHUNK_BYTES

/**
 * struct wal_io - the system calls used for writing, for fault tests
 *
 * Each returns as the system call does and sets errno.
 */
struct wal_io {
	ssize_t (*write) (int fd, const void *data, size_t len, void *ctx);
	int (*sync) (int fd, bool data_only, void *ctx);
	int (*rename) (int dir_fd, const char *from, const char *to, void *ctx);
	int (*remove) (int dir_fd, const char *name, void *ctx);
};

/** wal_io_posix - the system's own */
extern const struct wal_io wal_io_posix;

/**
 * struct wal_state - what a folder holds
 * @id: the member's identity
 * @term: durable term
 * @vote: durable vote in it
 * @snap_index: last index in the snapshot, 0: none
 * @snap_term: its term
 * @snap_config: the group at that index
 * @snap_data: the state
 * @base: the log starts after this index
 * @base_term: its term
 * @entries: array of struct raft_entry *
 * @cut_bytes: torn bytes cut off the log's end
 */
struct wal_state {
	uint64_t id;
	uint64_t term;
	uint64_t vote;
	uint64_t snap_index;
	uint64_t snap_term;
	struct raft_config snap_config;
	GByteArray *snap_data;
	uint64_t base;
	uint64_t base_term;
	GPtrArray *entries;
	uint64_t cut_bytes;
};

/** struct wal - an open folder; the caller owns the memory */
struct wal {
	int dir_fd;
	int lock_fd;
	int log_fd;
	int snap_fd;
	uint64_t snap_offset; /* of the state in the snapshot file */
	uint64_t snap_len;
	const struct wal_io *io;
	void *io_ctx;
	GByteArray *batch;  /* records not yet written */
	size_t last_record; /* where the batch's last one starts */
	uint64_t batch_no;
	uint64_t term;
	uint64_t vote;
	GByteArray *chunk;
	struct err failed; /* the first failure; final */
};

/**
 * wal_create() - make a member's folder
 * @dir: an existing folder that holds nothing, or what an earlier call left
 *	that did not come to its end
 * @id: the new random identity, not 0
 * @config: the group of a new one-member cluster, or NULL for a member that
 *	waits to be added to a group
 * @command: the new group's first command, or NULL
 * @io: system calls, or NULL for the system's own
 * @e: ERR_CONFLICT where the folder holds anything else, ERR_CORRUPT, ERR_IO,
 *	ERR_FULL
 *
 * The identity is written last, and no member votes or acknowledges without
 * one.  A log without an identity is discarded only if it holds no vote and no
 * entry but the first ones, so that nothing was promised by it.
 */
bool wal_create (const char *dir, uint64_t id, const struct raft_config *config,
		 const struct msg_bytes *command, const struct wal_io *io,
		 void *io_ctx, struct err *e);

/**
 * wal_open() - lock and read a folder
 * @w: filled in
 * @dir: the folder
 * @io: system calls, or NULL for the system's own
 * @st: filled in; release with wal_state_finish() in any case
 * @e: ERR_NOT_FOUND where the folder holds no identity, ERR_CONFLICT where
 *	another process holds it, ERR_CORRUPT, ERR_IO, ERR_FULL
 */
bool wal_open (struct wal *w, const char *dir, const struct wal_io *io,
	       void *io_ctx, struct wal_state *st, struct err *e);

/** wal_state_finish() - release what wal_open() read */
void wal_state_finish (struct wal_state *st);

/** wal_finish() - close the folder; what was not synced may be lost */
void wal_finish (struct wal *w);

/*
 * Writing.  After a failure every call fails with the first cause: what a
 * failed sync left on the disk is unknown, so the process must end and read
 * the folder again.  ERR_FULL where the disk is full, ERR_IO otherwise.
 */

/** wal_vote() - make term and vote durable, and all appended before */
bool wal_vote (struct wal *w, uint64_t term, uint64_t vote, struct err *e);

/** wal_append() - add an entry to the batch */
bool wal_append (struct wal *w, const struct raft_entry *entry, struct err *e);

/** wal_truncate() - add to the batch that entries from @index on are dropped */
bool wal_truncate (struct wal *w, uint64_t index, struct err *e);

/** wal_sync() - write the batch and make it durable */
bool wal_sync (struct wal *w, struct err *e);

/**
 * struct wal_snapshot - a snapshot to be written
 * @index: last index in it
 * @term: its term
 * @config: the group at that index
 * @data: the state
 * @len: its length in bytes
 */
struct wal_snapshot {
	uint64_t index;
	uint64_t term;
	const struct raft_config *config;
	const void *data;
	size_t len;
};

/**
 * wal_snapshot() - make a snapshot the newest and write the log anew
 * @log: the member's log in memory
 * @base: entries of @log up to here are dropped
 */
bool wal_snapshot (struct wal *w, const struct wal_snapshot *s,
		   const struct raft_log *log, uint64_t base, struct err *e);

/** wal_install() - as wal_snapshot(), with a log that starts after it */
bool wal_install (struct wal *w, const struct wal_snapshot *s, struct err *e);

/**
 * wal_chunk() - read from the newest snapshot's state
 * @chunk: valid until the next call
 * @last: whether the state ends with it
 */
bool wal_chunk (struct wal *w, uint64_t offset, size_t max,
		struct msg_bytes *chunk, bool *last, struct err *e);

#endif
