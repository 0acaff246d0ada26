/*
 * The operators' listener: who may ask, and which function answers.
 */
#include <arpa/inet.h>
#include <string.h>

#include <json-c/json.h>
#include "controld.h"

#define BODY_MAX_BYTES (16U << 20)
#define IDLE_MS 10000

/* Operators may fill half of the machine's memory, so that a change of the full
 * size has room, and have a quarter of the descriptors. */
#define CLIENTS_MEMORY_PART 2
#define CLIENTS_FDS_PART 4

static const struct {
	const char *method;
	const char *path;
	void (*handle) (struct control *c, h2o_req_t *req);
} routes[] = {
	{"GET", "/v1/status", admin_status},
	{"GET", "/v1/inventory", admin_inventory},
	{"GET", "/v1/acknowledgements", admin_acks},
	{"GET", "/v1/keys", admin_keys},
	{"GET", "/v1/orders", admin_orders},
	{"GET", "/v1/windows", admin_windows},
	{"GET", "/v1/scale", admin_scale},
	{"GET", "/v1/safe-to-stop", admin_safe_to_stop},
	{"GET", "/v1/object", admin_object},
	{"POST", "/v1/apply", admin_apply},
	{"POST", "/v1/change", admin_change},
	{"POST", "/v1/withdraw", admin_withdraw},
	{"POST", "/v1/members/add", admin_member_add},
	{"POST", "/v1/members/remove", admin_member_remove},
	{"POST", "/v1/members/promote", admin_member_promote},
	{"POST", "/v1/members/move", admin_member_move},
	{"POST", "/v1/transfer", admin_transfer},
	{"POST", "/v1/order", admin_order},
};

static const char *
leader_admin (struct control *c)
{
	struct peer *p = peer_by_id (c, c->raft.leader);

	if (c->raft.leader == c->id)
		return c->admin_addr;
	return p != NULL ? p->admin : "";
}

void
admin_fail (struct control *c, h2o_req_t *req, const struct err *e)
{
	json_object *o = json_object_new_object ();
	json_object *error = json_object_new_object ();

	json_object_object_add (error, "kind",
				json_object_new_string (err_name (e->kind)));
	json_object_object_add (error, "message",
				json_object_new_string (e->msg));
	json_object_object_add (o, "error", error);
	json_object_object_add (o, "revision",
				json_object_new_uint64 (sm_revision (c->sm)));
	if (e->kind == ERR_NOT_LEADER)
		json_object_object_add (
			o, "leader_admin",
			json_object_new_string (leader_admin (c)));
	httpd_answer_json (req, err_answer (e->kind)->status,
			   json_object_to_json_string (o));
	json_object_put (o);
}

bool
admin_is_leader (struct control *c, h2o_req_t *req)
{
	struct err e;

	if (c->raft.role == RAFT_LEADER)
		return true;
	if (c->raft.leader == 0)
		err_set (&e, ERR_NO_QUORUM,
			 "no quorum: this member knows of no leader");
	else
		err_set (&e, ERR_NOT_LEADER, "this member does not lead");
	admin_fail (c, req, &e);
	return false;
}

static bool
method_is (const h2o_req_t *req, const char *method)
{
	return req->method.len == strlen (method) &&
	       memcmp (req->method.base, method, req->method.len) == 0;
}

static int
on_request (h2o_req_t *req, void *ctx)
{
	struct control *c = ctx;
	struct err e;

	if (!httpd_bearer_is (req, c->admin_token)) {
		err_set (&e, ERR_AUTH, "admin token missing or wrong");
		admin_fail (c, req, &e);
		return 0;
	}
	for (unsigned i = 0; i < G_N_ELEMENTS (routes); i++) {
		if (method_is (req, routes[i].method) &&
		    httpd_path_is (req, routes[i].path)) {
			routes[i].handle (c, req);
			control_wake (c);
			return 0;
		}
	}
	err_set (&e, ERR_NOT_FOUND, "no such path");
	admin_fail (c, req, &e);
	return 0;
}

bool
admin_listen (struct control *c, struct err *e)
{
	struct httpd_conf conf = {.max_body_bytes = BODY_MAX_BYTES,
				  .io_timeout_ms = IDLE_MS,
				  .quota = &c->quota,
				  .handler = on_request,
				  .ctx = c};
	char host[INET_ADDRSTRLEN];

	c->waits = g_ptr_array_new ();
	quota_init (&c->quota, c->set.memory_mb, c->set.max_fds,
		    CLIENTS_MEMORY_PART, CLIENTS_FDS_PART);
	if (!link_addr_parse (c->set.admin, &conf.addr, e) ||
	    !httpd_init (&c->admin, c->d.loop, &conf, e))
		return false;
	inet_ntop (AF_INET, &conf.addr.sin_addr, host, sizeof host);
	g_snprintf (c->admin_addr, sizeof c->admin_addr, "%s:%u", host,
		    c->admin.port);
	return true;
}
