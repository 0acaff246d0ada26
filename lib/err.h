#ifndef DH_ERR_H
#define DH_ERR_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Errors are a struct passed down by the caller.  The kinds form one closed
 * list; the table in err.c maps each kind to what a caller is told.
 */

#define ERR_MSG_BYTES 256

/** enum err_ran - whether the endpoint may have run a request */
enum err_ran {
	ERR_RAN_NO,
	ERR_RAN_YES,
	ERR_RAN_UNKNOWN,
};

/** enum err_kind - the closed list of error kinds */
enum err_kind {
	ERR_NONE,
	/* the caller's request */
	ERR_BAD_REQUEST,
	ERR_TOO_LARGE,
	ERR_NO_KEY,
	ERR_WRONG_KEY,
	ERR_FORBIDDEN,
	ERR_NO_ROUTE,
	ERR_NO_MODEL,
	/* calls that may not be repeated */
	ERR_KEY_REUSED,
	ERR_IN_PROGRESS,
	ERR_OUTCOME_UNKNOWN,
	ERR_NO_QUORUM,
	/* admission */
	ERR_RATE_LIMIT,
	ERR_OVERLOAD,
	ERR_DOOMED,
	ERR_NO_ENDPOINT,
	ERR_SUSPECT,
	ERR_LEAVING,
	ERR_TIMEOUT_QUEUED,
	/* after dispatch */
	ERR_ENDPOINT_REFUSED,
	ERR_ENDPOINT_LOST,
	ERR_TIMEOUT,
	ERR_CANCELLED,
	/* operators and the system's own parts */
	ERR_SETTINGS,
	ERR_CONFLICT,
	ERR_NOT_FOUND,
	ERR_NOT_LEADER,
	ERR_PROTOCOL,
	ERR_AUTH,
	ERR_IO,
	ERR_CORRUPT,
	ERR_FULL,
	ERR_INTERNAL,
	ERR_KINDS, /* number of kinds */
};

/**
 * struct err - one error
 * @kind: what went wrong; ERR_NONE where nothing did
 * @msg: terse lower-case text, ending in the cause
 */
struct err {
	enum err_kind kind;
	char msg[ERR_MSG_BYTES];
};

/**
 * struct err_answer - what a caller is told for a kind of error
 * @name: short name, used in answers and log lines
 * @status: HTTP status
 * @retryable: whether sending the request again may succeed
 * @ran: whether an endpoint may have run the request
 */
struct err_answer {
	const char *name;
	uint16_t status;
	bool retryable;
	enum err_ran ran;
};

/**
 * err_set() - record an error
 * @e: the error; NULL is allowed and records nothing
 * @kind: the kind
 * @fmt: printf format of the message
 *
 * Return: false always, so that a caller can return it.
 */
bool err_set (struct err *e, enum err_kind kind, const char *fmt, ...)
	__attribute__ ((format (printf, 3, 4)));

/** err_clear() - make @e hold no error */
void err_clear (struct err *e);

/** err_answer() - the table's row for @kind; never NULL */
const struct err_answer *err_answer (enum err_kind kind);

/** err_name() - the short name of @kind */
const char *err_name (enum err_kind kind);

/** err_ran_name() - "no", "yes" or "unknown" */
const char *err_ran_name (enum err_ran ran);

#endif
