/*
 * Replication of withdrawn keys between instances over a simulated network with
 * a fixed seed that reorders and loses messages, is partitioned, and heals.
 */
#include <stdio.h>
#include <string.h>

#include "keyflood.h"
#include "t_run.h"

#define SEED 5
#define NODES 12

struct net;

struct node {
	struct net *net;
	struct keyflood k;
	char name[INV_NAME_BYTES];
	int side;
	uint32_t withdrawn_calls; /* by keyflood_ops */
};

/* A message in transit, in its wire format. */
struct packet {
	int from;
	int to;
	bool buckets;
	GBytes *data;
};

struct net {
	struct node nodes[NODES];
	GQueue queue;
	GRand *rand;
	double loss;
	uint64_t now_ms;
	uint64_t messages;
};

static void
post (struct node *n, int to, bool buckets, const struct msg_field *fields,
      const void *msg)
{
	struct net *net = n->net;
	struct packet *p;
	msgpack_sbuffer buf;

	net->messages++;
	if (net->nodes[to].side != n->side ||
	    g_rand_double (net->rand) < net->loss)
		return;
	msgpack_sbuffer_init (&buf);
	msg_pack (fields, msg, &buf);
	p = g_new (struct packet, 1);
	p->from = (int)(n - net->nodes);
	p->to = to;
	p->buckets = buckets;
	p->data = g_bytes_new (buf.data, buf.size);
	msgpack_sbuffer_destroy (&buf);
	/* Deliver half of the messages out of order. */
	if (g_rand_boolean (net->rand))
		g_queue_push_head (&net->queue, p);
	else
		g_queue_push_tail (&net->queue, p);
}

static int
find (const struct net *net, const char *name)
{
	for (int i = 0; i < NODES; i++) {
		if (strcmp (net->nodes[i].name, name) == 0)
			return i;
	}
	return -1;
}

static void
on_send_ids (const char *to, const char *except, const struct keyflood_ids *m,
	     void *ctx)
{
	struct node *n = ctx;

	for (int i = 0; i < NODES; i++) {
		const struct node *peer = &n->net->nodes[i];

		if (peer == n || (to != NULL && strcmp (to, peer->name) != 0) ||
		    (except != NULL && strcmp (except, peer->name) == 0))
			continue;
		post (n, i, false, keyflood_ids_fields, m);
	}
}

static void
on_send_buckets (const char *to, const struct keyflood_buckets *m, void *ctx)
{
	struct node *n = ctx;

	post (n, find (n->net, to), true, keyflood_buckets_fields, m);
}

static void
on_withdrawn (const char *id, void *ctx)
{
	struct node *n = ctx;

	CU_ASSERT_TRUE (keyflood_has (&n->k, id));
	n->withdrawn_calls++;
}

static const struct keyflood_ops ops = {on_send_ids, on_send_buckets,
					on_withdrawn};

static void
net_init (struct net *net)
{
	memset (net, 0, sizeof *net);
	net->rand = g_rand_new_with_seed (SEED);
	net->now_ms = 1000;
	g_queue_init (&net->queue);
	for (int i = 0; i < NODES; i++) {
		net->nodes[i].net = net;
		g_snprintf (net->nodes[i].name, INV_NAME_BYTES, "e%d", i);
		keyflood_init (&net->nodes[i].k, &ops, &net->nodes[i]);
	}
}

static void
net_finish (struct net *net)
{
	CU_ASSERT_TRUE (g_queue_is_empty (&net->queue));
	for (int i = 0; i < NODES; i++)
		keyflood_finish (&net->nodes[i].k);
	g_rand_free (net->rand);
}

static void
deliver (struct net *net, const struct packet *p)
{
	struct keyflood *k = &net->nodes[p->to].k;
	const char *from = net->nodes[p->from].name;
	struct keyflood_buckets buckets;
	struct keyflood_ids ids;
	msgpack_zone zone;
	gsize len;
	const void *data = g_bytes_get_data (p->data, &len);

	msgpack_zone_init (&zone, 4096);
	if (p->buckets) {
		CU_ASSERT_FATAL (msg_unpack (keyflood_buckets_fields, data, len,
					     &buckets, &zone, NULL));
		keyflood_on_buckets (k, from, &buckets);
	} else {
		CU_ASSERT_FATAL (msg_unpack (keyflood_ids_fields, data, len,
					     &ids, &zone, NULL));
		keyflood_on_ids (k, from, &ids);
	}
	msgpack_zone_destroy (&zone);
}

static void
drain (struct net *net)
{
	struct packet *p;

	while ((p = g_queue_pop_head (&net->queue)) != NULL) {
		deliver (net, p);
		g_bytes_unref (p->data);
		g_free (p);
	}
}

/* Each instance sends a heartbeat to each peer on its side of the partition. */
static void
heartbeat (struct net *net)
{
	net->now_ms += 1000;
	for (int i = 0; i < NODES; i++) {
		for (int j = 0; j < NODES; j++) {
			struct node *a = &net->nodes[i], *b = &net->nodes[j];

			if (i == j || a->side != b->side)
				continue;
			keyflood_on_digest (&b->k, a->name,
					    keyflood_digest (&a->k),
					    net->now_ms);
			drain (net);
		}
	}
}

static bool
all_have (const struct net *net, uint32_t count)
{
	for (int i = 0; i < NODES; i++) {
		if (keyflood_count (&net->nodes[i].k) != count ||
		    net->nodes[i].withdrawn_calls != count)
			return false;
	}
	return true;
}

static void
withdraw (struct net *net, int at, int id)
{
	char text[INV_NAME_BYTES];

	g_snprintf (text, sizeof text, "k-%d", id);
	keyflood_add (&net->nodes[at].k, text, NULL);
	drain (net);
}

static void
test_flood (void)
{
	struct net net;
	uint64_t before;

	net_init (&net);
	for (int i = 0; i < 100; i++)
		withdraw (&net, i % NODES, i);
	CU_ASSERT_TRUE (all_have (&net, 100));
	before = net.messages;
	withdraw (&net, 3, 7); /* again */
	heartbeat (&net);
	CU_ASSERT_EQUAL (net.messages, before);
	net_finish (&net);
}

/* Half of all messages are lost: digests repair what the flood missed. */
static void
test_loss (void)
{
	struct net net;

	net_init (&net);
	net.loss = 0.5;
	for (int i = 0; i < 300; i++)
		withdraw (&net, i % NODES, i);
	for (int i = 0; i < 10; i++)
		heartbeat (&net);
	CU_ASSERT_TRUE (all_have (&net, 300));
	net_finish (&net);
}

/* All sides of a partition withdraw keys.  One round of heartbeats after it
 * heals makes the sets equal, with a bounded number of messages. */
static void
test_partition (void)
{
	struct net net;
	uint64_t before;

	net_init (&net);
	for (int i = 0; i < NODES; i++)
		net.nodes[i].side = i % 3;
	for (int i = 0; i < 3000; i++)
		withdraw (&net, (int)g_rand_int_range (net.rand, 0, NODES), i);
	heartbeat (&net);
	CU_ASSERT_FALSE (all_have (&net, 3000));
	for (int i = 0; i < NODES; i++)
		net.nodes[i].side = 0;
	before = net.messages;
	heartbeat (&net);
	CU_ASSERT_TRUE (all_have (&net, 3000));
	/* At most: each pair compares once and sends each id once. */
	CU_ASSERT (net.messages - before <=
		   (uint64_t)NODES * (NODES - 1) *
			   (2 + 3000 / KEYFLOOD_IDS_MAX));
	net_finish (&net);
}

/* Empty or overlong ids and malformed bucket lists change nothing. */
static void
test_invalid (void)
{
	struct keyflood_bucket one = {1};
	struct keyflood_buckets buckets = {.buckets = {&one, 1}};
	char big[INV_NAME_BYTES + 1];
	struct net net;

	net_init (&net);
	memset (big, 'x', sizeof big - 1);
	big[sizeof big - 1] = '\0';
	CU_ASSERT_FALSE (keyflood_add (&net.nodes[0].k, "", NULL));
	CU_ASSERT_FALSE (keyflood_add (&net.nodes[0].k, big, NULL));
	keyflood_on_buckets (&net.nodes[0].k, "e1", &buckets);
	CU_ASSERT_TRUE (all_have (&net, 0));
	net_finish (&net);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"flood", test_flood},
		{"loss", test_loss},
		{"partition", test_partition},
		{"invalid", test_invalid},
		{NULL, NULL},
	};

	return t_run ("keyflood", cases);
}
