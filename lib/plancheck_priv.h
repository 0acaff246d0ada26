#ifndef DH_PLANCHECK_PRIV_H
#define DH_PLANCHECK_PRIV_H

#include "plancheck.h"

/* What the files of the plancheck module give each other. */

/* Appends a formatted text to an array of char *. */
void plancheck_add_line (GPtrArray *lines, const char *format, ...)
	G_GNUC_PRINTF (2, 3);

/* How lines name an entry; freed with g_free(). */
char *plancheck_route_label (const void *item);
char *plancheck_service_label (const void *item);
char *plancheck_account_label (const void *item);

#endif
