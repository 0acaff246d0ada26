#ifndef DH_PLAT_H
#define DH_PLAT_H

#include <stdbool.h>
#include <stdint.h>

#include <netinet/in.h>

#include <h2o.h>

#include "err.h"
#include "sm.h"

/*
 * The platform: what lists instances, takes orders for endpoints and takes
 * usage reports.  One table of callbacks stands for it, so that another wire
 * format is another file.  docs/PLATFORM.md has the one that plat_http.c
 * speaks.
 */

#define PLAT_LIST_MAX 16384   /* instances in one list */
#define PLAT_ENDPOINTS_MAX 16 /* endpoints that one order made */

/** enum plat_state - what the platform says of an instance */
enum plat_state {
	PLAT_LIVE,
	PLAT_LEAVING,
	PLAT_TERMINATED,
};

/** struct plat_instance - one line of the platform's list, which lags */
struct plat_instance {
	char name[INV_NAME_BYTES];
	char domain[INV_NAME_BYTES];
	char addr[INV_NAME_BYTES]; /* IP:port, or "" */
	enum plat_state state;
};

/** struct plat_notice - a notice of reclaim */
struct plat_notice {
	uint64_t seq;
	char domain[INV_NAME_BYTES];   /* the whole domain, or "" */
	char endpoint[INV_NAME_BYTES]; /* one endpoint, or "" */
	uint64_t terminates_at_ms;     /* wall clock */
};

/** enum plat_verdict - what became of a write */
enum plat_verdict {
	PLAT_ACCEPTED,
	PLAT_STALE,   /* the fencing number is old: another leader wrote */
	PLAT_REFUSED, /* for good: the same again gets the same */
	PLAT_LOST,    /* no answer, or not now; it may have been done */
	PLAT_UNSENT,  /* not one byte left: the guard forbade it, or there was
			 no connection */
};

/**
 * struct plat_guard - whether this process may still write
 * @may_write: asked immediately before the first byte of a write leaves
 * @timeout_ms: the write is given up after so long, also by the kernel where
 *	bytes wait in its buffer; no more than what is left of the lease
 */
struct plat_guard {
	bool (*may_write) (void *ctx);
	void *ctx;
	uint32_t timeout_ms;
};

/** struct plat_answer - the answer to a write */
struct plat_answer {
	enum plat_verdict verdict;
	bool duplicate; /* the platform had it already */
	char endpoints[PLAT_ENDPOINTS_MAX][INV_NAME_BYTES];
	uint32_t endpoint_count;
	char why[SM_WHY_BYTES];
};

/** struct plat_report - a sealed window, to be reported */
struct plat_report {
	const struct sm_window *window;
	const char *sender;
	uint64_t fence;
};

/** struct plat_order - one order */
struct plat_order {
	const struct sm_order *order;
	const char *sender;
	uint64_t fence;
};

typedef void (*plat_answer_cb) (const struct plat_answer *a, void *ctx);
typedef void (*plat_list_cb) (const struct plat_instance *list, uint32_t count,
			      const struct err *e, void *ctx);
typedef void (*plat_notice_cb) (const struct plat_notice *list, uint32_t count,
				const struct err *e, void *ctx);

/**
 * struct plat_ops - the platform
 * @list: instances; @e is NULL where the list came
 * @notices: notices of reclaim, as @list
 * @order: send an order.  The same id again is the same order.
 * @report: report a window.  The same report id again is the same report.
 *
 * Each calls back once, never before it returns.  All that is passed in is
 * copied, except that the guard's context must live until the call back.
 */
struct plat_ops {
	void (*list) (void *plat, plat_list_cb cb, void *ctx);
	void (*notices) (void *plat, plat_notice_cb cb, void *ctx);
	void (*order) (void *plat, const struct plat_order *o,
		       const struct plat_guard *g, plat_answer_cb cb,
		       void *ctx);
	void (*report) (void *plat, const struct plat_report *r,
			const struct plat_guard *g, plat_answer_cb cb,
			void *ctx);
};

/** plat_verdict_name() - "accepted", "stale", ... */
const char *plat_verdict_name (enum plat_verdict v);

/** struct plat_http - the platform over HTTP and JSON */
struct plat_http;

/** plat_http_ops - callbacks; their context is a struct plat_http */
extern const struct plat_ops plat_http_ops;

/** plat_http_new() - speak with the platform at @addr */
struct plat_http *plat_http_new (h2o_loop_t *loop,
				 const struct sockaddr_in *addr);

/** plat_http_free() - end; calls that stand are not called back */
void plat_http_free (struct plat_http *p);

#endif
