/*
 * Binary heap of nodes embedded in their owners.  Each node stores its index,
 * so that any node can be removed or moved in logarithmic time.
 */
#include "adm_heap.h"

static struct adm_heap_node *
node_at (const struct adm_heap *h, uint32_t i)
{
	return g_ptr_array_index (h->nodes, i);
}

static void
node_set (struct adm_heap *h, uint32_t i, struct adm_heap_node *n)
{
	g_ptr_array_index (h->nodes, i) = n;
	n->index = (int32_t)i;
}

static void
sift_up (struct adm_heap *h, uint32_t i)
{
	struct adm_heap_node *n = node_at (h, i);

	while (i > 0 && n->key < node_at (h, (i - 1) / 2)->key) {
		node_set (h, i, node_at (h, (i - 1) / 2));
		i = (i - 1) / 2;
	}
	node_set (h, i, n);
}

static void
sift_down (struct adm_heap *h, uint32_t i)
{
	struct adm_heap_node *n = node_at (h, i);
	uint32_t len = h->nodes->len;

	for (;;) {
		uint32_t c = 2 * i + 1;

		if (c >= len)
			break;
		if (c + 1 < len &&
		    node_at (h, c + 1)->key < node_at (h, c)->key)
			c++;
		if (node_at (h, c)->key >= n->key)
			break;
		node_set (h, i, node_at (h, c));
		i = c;
	}
	node_set (h, i, n);
}

void
adm_heap_init (struct adm_heap *h)
{
	h->nodes = g_ptr_array_new ();
}

void
adm_heap_finish (struct adm_heap *h)
{
	g_ptr_array_free (h->nodes, TRUE);
}

void
adm_heap_put (struct adm_heap *h, struct adm_heap_node *n, double key)
{
	n->key = key;
	if (n->index < 0) {
		g_ptr_array_add (h->nodes, n);
		n->index = (int32_t)h->nodes->len - 1;
	}
	sift_up (h, (uint32_t)n->index);
	sift_down (h, (uint32_t)n->index);
}

void
adm_heap_del (struct adm_heap *h, struct adm_heap_node *n)
{
	uint32_t i = (uint32_t)n->index;
	struct adm_heap_node *last;

	if (n->index < 0)
		return;
	n->index = -1;
	last = node_at (h, h->nodes->len - 1);
	g_ptr_array_set_size (h->nodes, (int)h->nodes->len - 1);
	if (last == n)
		return;
	node_set (h, i, last);
	sift_up (h, i);
	sift_down (h, (uint32_t)last->index);
}

struct adm_heap_node *
adm_heap_top (const struct adm_heap *h)
{
	return h->nodes->len == 0 ? NULL : node_at (h, 0);
}
