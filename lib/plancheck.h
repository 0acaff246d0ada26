#ifndef DH_PLANCHECK_H
#define DH_PLANCHECK_H

#include <glib.h>

#include "plan.h"

/*
 * What an operator is told of a configuration before it is sent: entries that
 * have no effect, limits that contradict each other, and how it differs from
 * another one.  What would be refused is found by plan_check(), which the
 * configurations here have passed.
 */

/** PLANCHECK_DETAILS_MAX - differences of routes, of services and of accounts
 * that are told one by one; the others are only counted */
#define PLANCHECK_DETAILS_MAX 10

/**
 * plancheck_findings() - finds what a configuration states without effect, and
 * limits that contradict each other
 *
 * Return: one text for each finding, without a line end; none contains an API
 * key.  Freed with g_ptr_array_unref().
 */
GPtrArray *plancheck_findings (const struct plan *p);

/**
 * plancheck_diff() - tells what leads from a configuration to another one
 * @from: the configuration in force
 * @to: the one that would replace it
 *
 * Routes are matched by host and prefix, services and accounts by name.
 *
 * Return: lines of text, as plancheck_findings(); none where they are equal but
 * for a higher version.
 */
GPtrArray *plancheck_diff (const struct plan *from, const struct plan *to);

#endif
