#ifndef DH_PLAT_H
#define DH_PLAT_H

#include <stdbool.h>
#include <stdint.h>

#include <netinet/in.h>

#include <h2o.h>

#include "err.h"
#include "sm.h"

/*
 * The platform as controld uses it: it lists instances, gives notice of
 * reclaims, and accepts orders for endpoints and usage reports.  A table of
 * callbacks is the interface, so that another wire format is another file.
 * plat_http.c implements the format in docs/PLATFORM.md.
 */

#define PLAT_LIST_MAX 16384   /* instances in a list */
#define PLAT_ENDPOINTS_MAX 16 /* endpoints created by one order */

/** enum plat_state - state of an instance in the platform's list */
enum plat_state {
	PLAT_LIVE,
	PLAT_LEAVING,
	PLAT_TERMINATED,
};

/** struct plat_instance - an entry of the platform's list, which may be out of
 * date */
struct plat_instance {
	char name[INV_NAME_BYTES];
	char domain[INV_NAME_BYTES];
	char addr[INV_NAME_BYTES]; /* IP:port, or "" */
	enum plat_state state;
};

/** struct plat_notice - notice of a reclaim */
struct plat_notice {
	uint64_t seq;
	char domain[INV_NAME_BYTES];   /* the whole failure domain, or "" */
	char endpoint[INV_NAME_BYTES]; /* one endpoint, or "" */
	uint64_t terminates_at_ms;     /* wall clock */
};

/** enum plat_verdict - outcome of a write */
enum plat_verdict {
	PLAT_ACCEPTED,
	PLAT_STALE,   /* the fencing token is old: another leader wrote */
	PLAT_REFUSED, /* permanently: a retry gets the same answer */
	PLAT_LOST,    /* outcome unknown: no answer, or a temporary error */
	PLAT_UNSENT,  /* no byte was sent: the guard forbade it, or the
			 connection failed */
};

/**
 * struct plat_guard - permission of this process to write
 * @may_write: called immediately before the first byte of a write is sent
 * @ctx: passed to @may_write
 * @timeout_ms: the write is aborted after this time, also by the kernel where
 *	bytes wait in its send buffer; at most the rest of the lease
 */
struct plat_guard {
	bool (*may_write) (void *ctx);
	void *ctx;
	uint32_t timeout_ms;
};

/**
 * struct plat_answer - the answer to a write
 * @verdict: outcome
 * @duplicate: the platform had received the same write before
 * @endpoints: names of the endpoints that an order created
 * @endpoint_count: entries in use in @endpoints
 * @why: reason for the verdict, for log lines
 */
struct plat_answer {
	enum plat_verdict verdict;
	bool duplicate;
	char endpoints[PLAT_ENDPOINTS_MAX][INV_NAME_BYTES];
	uint32_t endpoint_count;
	char why[SM_WHY_BYTES];
};

/**
 * struct plat_report - a usage report
 * @window: sealed window that is reported
 * @sender: name of this process
 * @fence: fencing token
 */
struct plat_report {
	const struct sm_window *window;
	const char *sender;
	uint64_t fence;
};

/**
 * struct plat_order - an order
 * @order: what is ordered
 * @sender: name of this process
 * @fence: fencing token
 */
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
 * struct plat_ops - calls to the platform; @plat is the implementation's object
 * @list: fetches the list of instances; @e of the callback is NULL on success
 * @notices: fetches the notices of reclaim; @e as for @list
 * @order: sends an order.  The platform takes a second one with the same order
 *	id for the same order.
 * @report: sends a usage report.  The platform takes a second one with the same
 *	report id for the same report.
 *
 * Each call invokes its callback once, and never before the call returns.
 * Arguments are copied, except that the guard's context must stay valid until
 * the callback.
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

/** plat_verdict_name() - name of a verdict in log lines: "accepted", ... */
const char *plat_verdict_name (enum plat_verdict v);

/** struct plat_http - client of a platform that speaks HTTP and JSON */
struct plat_http;

/** plat_http_ops - the calls; their @plat is a struct plat_http */
extern const struct plat_ops plat_http_ops;

/**
 * plat_http_new() - creates a client
 * @loop: event loop
 * @addr: address of the platform
 */
struct plat_http *plat_http_new (h2o_loop_t *loop,
				 const struct sockaddr_in *addr);

/** plat_http_free() - frees the client; pending calls are cancelled without
 * their callbacks */
void plat_http_free (struct plat_http *p);

#endif
