#ifndef DH_PROTO_H
#define DH_PROTO_H

#include <stdbool.h>
#include <stdint.h>

#include "frame.h"
#include "inv.h"
#include "msg.h"

/*
 * Messages between entries and control members.  Messages between entries
 * stand with the modules that make them (lease.h, memb.h, susp.h, usage.h).
 */

/**
 * struct proto_subscribe - entry to control: send me the inventory
 * (FRAME_CONF_SUBSCRIBE; again after each reconnect)
 * @revision: what the entry has; 0 for nothing
 * @digest: digest of its document, checked against the revision
 * @domain: the entry's failure domain
 * @admin: IP:port of its admin listener
 */
struct proto_subscribe {
	uint64_t revision;
	uint8_t digest[INV_DIGEST_BYTES];
	char domain[INV_NAME_BYTES];
	char admin[INV_NAME_BYTES];
};

/**
 * struct proto_update - control to entry (FRAME_CONF_UPDATE); also the
 * heartbeat
 * @base: revision the delta starts from; 0: from an empty document
 * @revision: revision after it
 * @digest: digest of the document after it
 * @more: whether further parts of the same revision follow
 * @delta: what changed; empty in a heartbeat
 * @withdrawn: key ids withdrawn lately, also before they are in a revision
 * @quorum: whether the sender leads or follows a leader now
 * @leaving_told: whether @leaving says anything
 * @leaving: names of all endpoints and entries that the platform lists as
 *	leaving or gone, or will reclaim
 */
struct proto_update {
	uint64_t base;
	uint64_t revision;
	uint8_t digest[INV_DIGEST_BYTES];
	bool more;
	struct msg_list delta;     /* of struct inv_change */
	struct msg_list withdrawn; /* of struct proto_key_id */
	bool quorum;
	bool leaving_told;
	struct msg_list leaving; /* of struct proto_key_id */
};

/** struct proto_key_id - a key id, or a name, in a list */
struct proto_key_id {
	char id[INV_NAME_BYTES];
};

/** struct proto_busy - requests at a domain's engines, or at one endpoint */
struct proto_busy {
	char name[INV_NAME_BYTES];
	uint32_t busy;
};

/**
 * struct proto_load - what the elastic decision needs of an entry
 * @entry: its name
 * @incarnation: counts start at zero in each
 * @revision: in force at the entry when it looked
 * @asked: requests that ended, each weighted by its tier; not those refused
 *	for what the caller did
 * @attained: of them, those answered within their targets
 * @domains: of struct proto_busy, by domain; 0 is left out
 * @releasing: of struct proto_busy, endpoints on their way out with work left
 */
struct proto_load {
	char entry[INV_NAME_BYTES];
	uint64_t incarnation;
	uint64_t revision;
	uint64_t asked;
	uint64_t attained;
	struct msg_list domains;
	struct msg_list releasing;
};

/**
 * struct proto_confirm - entry to control (FRAME_CONF_CONFIRM)
 * @revision: in force at this entry
 * @digest: digest of its document
 * @load: of struct proto_load: one where the inventory says `scale`, else none
 */
struct proto_confirm {
	uint64_t revision;
	uint8_t digest[INV_DIGEST_BYTES];
	struct msg_list load;
};

/**
 * struct proto_member_load - control member to the leader: what its entries
 * said lately (FRAME_MEMBER_LOAD)
 * @loads: of struct proto_load
 */
struct proto_member_load {
	struct msg_list loads;
};

/**
 * struct proto_command - to a control member: commit this (FRAME_COMMAND)
 * @id: chosen by the sender, echoed in the reply
 * @kind: enum sm_kind
 * @data: the packed command
 * @forwarded: already forwarded once by a control member
 */
struct proto_command {
	uint64_t id;
	uint8_t kind;
	struct msg_bytes data;
	bool forwarded;
};

/**
 * struct proto_command_reply - its outcome (FRAME_COMMAND_REPLY)
 * @id: of the command
 * @error: enum err_kind where it was not committed: ERR_NOT_LEADER,
 *	ERR_NO_QUORUM (not committed for certain), ERR_OUTCOME_UNKNOWN (may
 *	or may not have been)
 * @reply: packed struct sm_reply, where @error is 0
 */
struct proto_command_reply {
	uint64_t id;
	uint8_t error;
	struct msg_bytes reply;
};

/**
 * struct proto_key_digest - digest of the withdrawn keys that an entry knows,
 * to another entry (FRAME_KEY_DIGEST)
 * @digest: see keyflood_digest()
 */
struct proto_key_digest {
	uint64_t digest;
};

/**
 * struct proto_withdraw - withdraw a key at once, between an entry and control
 * (FRAME_KEY_WITHDRAW; between entries it carries struct keyflood_ids)
 * @id: the key's id
 * @origin: the instance that took the order
 */
struct proto_withdraw {
	char id[INV_NAME_BYTES];
	char origin[INV_NAME_BYTES];
};

#define PROTO_COMMAND_MAX_BYTES (4U << 20)
#define PROTO_UPDATE_CHANGES_MAX 4096
#define PROTO_WITHDRAWN_MAX 4096
#define PROTO_LEAVING_MAX 4096
#define PROTO_BUSY_MAX 1024
#define PROTO_LOADS_MAX 4096

/* Wire tables of the messages above. */
extern const struct msg_field proto_subscribe_fields[];
extern const struct msg_field proto_update_fields[];
extern const struct msg_field proto_key_id_fields[];
extern const struct msg_field proto_load_fields[];
extern const struct msg_field proto_confirm_fields[];
extern const struct msg_field proto_member_load_fields[];
extern const struct msg_field proto_command_fields[];
extern const struct msg_field proto_command_reply_fields[];
extern const struct msg_field proto_withdraw_fields[];
extern const struct msg_field proto_key_digest_fields[];

#endif
