/*
 * The closed list of error kinds, and what each means to a caller.
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "err.h"

static const struct err_answer answers[ERR_KINDS] = {
	[ERR_NONE] = {"none", 200, false, ERR_RAN_YES},
	[ERR_BAD_REQUEST] = {"bad_request", 400, false, ERR_RAN_NO},
	[ERR_TOO_LARGE] = {"too_large", 413, false, ERR_RAN_NO},
	[ERR_NO_KEY] = {"no_key", 401, false, ERR_RAN_NO},
	[ERR_WRONG_KEY] = {"wrong_key", 401, false, ERR_RAN_NO},
	[ERR_FORBIDDEN] = {"forbidden", 403, false, ERR_RAN_NO},
	[ERR_NO_ROUTE] = {"no_route", 404, false, ERR_RAN_NO},
	[ERR_NO_MODEL] = {"no_model", 404, false, ERR_RAN_NO},
	[ERR_KEY_REUSED] = {"key_reused", 422, false, ERR_RAN_NO},
	[ERR_IN_PROGRESS] = {"in_progress", 409, true, ERR_RAN_UNKNOWN},
	[ERR_OUTCOME_UNKNOWN] = {"outcome_unknown", 409, false,
				 ERR_RAN_UNKNOWN},
	[ERR_NO_QUORUM] = {"no_quorum", 503, true, ERR_RAN_NO},
	[ERR_RATE_LIMIT] = {"rate_limit", 429, true, ERR_RAN_NO},
	[ERR_OVERLOAD] = {"overload", 503, true, ERR_RAN_NO},
	[ERR_DOOMED] = {"doomed", 503, true, ERR_RAN_NO},
	[ERR_NO_ENDPOINT] = {"no_endpoint", 503, true, ERR_RAN_NO},
	[ERR_SUSPECT] = {"suspect", 422, false, ERR_RAN_UNKNOWN},
	[ERR_LEAVING] = {"leaving", 503, true, ERR_RAN_NO},
	[ERR_TIMEOUT_QUEUED] = {"timeout_queued", 503, true, ERR_RAN_NO},
	[ERR_ENDPOINT_REFUSED] = {"endpoint_refused", 502, false,
				  ERR_RAN_UNKNOWN},
	[ERR_ENDPOINT_LOST] = {"endpoint_lost", 502, false, ERR_RAN_UNKNOWN},
	[ERR_TIMEOUT] = {"timeout", 504, false, ERR_RAN_UNKNOWN},
	[ERR_CANCELLED] = {"cancelled", 499, false, ERR_RAN_UNKNOWN},
	[ERR_SETTINGS] = {"settings", 400, false, ERR_RAN_NO},
	[ERR_CONFLICT] = {"conflict", 409, false, ERR_RAN_NO},
	[ERR_NOT_FOUND] = {"not_found", 404, false, ERR_RAN_NO},
	[ERR_NOT_LEADER] = {"not_leader", 503, true, ERR_RAN_NO},
	[ERR_PROTOCOL] = {"protocol", 400, false, ERR_RAN_UNKNOWN},
	[ERR_AUTH] = {"auth", 403, false, ERR_RAN_NO},
	[ERR_IO] = {"io", 500, false, ERR_RAN_UNKNOWN},
	[ERR_CORRUPT] = {"corrupt", 500, false, ERR_RAN_UNKNOWN},
	[ERR_FULL] = {"full", 507, false, ERR_RAN_NO},
	[ERR_INTERNAL] = {"internal", 500, false, ERR_RAN_UNKNOWN},
};

bool
err_set (struct err *e, enum err_kind kind, const char *fmt, ...)
{
	va_list ap;

	if (e == NULL)
		return false;
	e->kind = kind;
	va_start (ap, fmt);
	vsnprintf (e->msg, sizeof e->msg, fmt, ap);
	va_end (ap);
	return false;
}

void
err_clear (struct err *e)
{
	e->kind = ERR_NONE;
	e->msg[0] = '\0';
}

const struct err_answer *
err_answer (enum err_kind kind)
{
	if (kind >= ERR_KINDS)
		kind = ERR_INTERNAL;
	return &answers[kind];
}

const char *
err_name (enum err_kind kind)
{
	return err_answer (kind)->name;
}

const char *
err_ran_name (enum err_ran ran)
{
	switch (ran) {
	case ERR_RAN_NO:
		return "no";
	case ERR_RAN_YES:
		return "yes";
	case ERR_RAN_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}
