#ifndef DH_ADM_HEAP_H
#define DH_ADM_HEAP_H

#include "adm.h"

/* Binary heap whose nodes are embedded in the objects that it orders. */

/** adm_heap_init() - initialise an empty heap */
void adm_heap_init (struct adm_heap *h);

/** adm_heap_finish() - free the heap; its nodes stay with their owners */
void adm_heap_finish (struct adm_heap *h);

/** adm_heap_put() - add @n with @key, or change its key to @key */
void adm_heap_put (struct adm_heap *h, struct adm_heap_node *n, double key);

/** adm_heap_del() - remove @n; does nothing if it is not in the heap */
void adm_heap_del (struct adm_heap *h, struct adm_heap_node *n);

/** adm_heap_top() - node with the smallest key, or NULL if empty */
struct adm_heap_node *adm_heap_top (const struct adm_heap *h);

#endif
