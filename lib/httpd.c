/*
 * An HTTP listener by h2o.
 */
#include <fcntl.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <sodium.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h1.h"
#include "httpd.h"
#include "link.h"

#define LISTEN_BACKLOG 1024

/* How often the process's memory is read.  h2o does not tell when a part of a
 * body arrives; only while the process holds more than clients may fill are its
 * connections looked at. */
#define SAMPLE_MS 10

/* What the kernel holds for a connection, and so about what arrives on it
 * between two samples. */
#define KERNEL_BUFFER_BYTES (64 << 10)

/* h2o's buffers have up to twice the room of what they hold, and are copied
 * when they grow. */
#define ROOM_FACTOR 3

/** struct httpd_conn - a connection
 * @running: its requests that are with the handler
 */
struct httpd_conn {
	struct httpd *s;
	h2o_socket_t *sock;
	struct quota_conn quota;
	uint32_t running;
	bool closed;
	guint refs; /* of the connection itself, and of its requests */
};

struct httpd_handler {
	h2o_handler_t super;
	struct httpd *server;
};

static void
conn_unref (struct httpd_conn *c)
{
	if (--c->refs == 0)
		g_free (c);
}

/* Tells the quota what the connection does and holds. */
static void
conn_count (struct httpd_conn *c, uint64_t now_ms)
{
	size_t len = c->sock->input->size;

	if (c->running > 0)
		quota_set_state (&c->quota, QUOTA_BUSY, now_ms);
	else if (len > 0)
		quota_set_state (&c->quota, QUOTA_PARTIAL, now_ms);
	else if (c->quota.state != QUOTA_NEW)
		quota_set_state (&c->quota, QUOTA_RESTING, now_ms);
	if (!quota_set_input (&c->quota, len * ROOM_FACTOR, now_ms))
		c->quota.ops->drop (&c->quota, QUOTA_MEMORY);
}

/* Called when h2o releases the memory of a request. */
static void
on_req_disposed (void *data)
{
	struct httpd_conn *c = *(struct httpd_conn **)data;

	c->running--;
	if (!c->closed && c->running == 0)
		quota_set_state (&c->quota, QUOTA_RESTING, tmr_now_ms ());
	conn_unref (c);
}

static int
on_req (h2o_handler_t *super, h2o_req_t *req)
{
	struct httpd_handler *h =
		H2O_STRUCT_FROM_MEMBER (struct httpd_handler, super, super);
	h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);
	struct httpd_conn **c =
		h2o_mem_alloc_shared (&req->pool, sizeof *c, on_req_disposed);

	*c = sock->on_close.data;
	(*c)->running++;
	(*c)->refs++;
	quota_set_state (&(*c)->quota, QUOTA_BUSY, tmr_now_ms ());
	return h->server->conf.handler (req, h->server->conf.ctx);
}

static void
on_conn_close (void *data)
{
	struct httpd_conn *c = data;
	struct httpd *s = c->s;

	c->closed = true;
	quota_leave (&c->quota);
	g_ptr_array_remove_fast (s->conns, c);
	conn_unref (c);
	s->connections--;
	if (s->listener != NULL && !h2o_socket_is_reading (s->listener))
		h2o_socket_read_start (s->listener, s->on_accept);
}

/* h2o closes a connection that was shut down in its next turn. */
static void
on_drop (struct quota_conn *q, enum quota_why why)
{
	struct httpd_conn *c =
		H2O_STRUCT_FROM_MEMBER (struct httpd_conn, quota, q);

	(void)why;
	quota_leave (q);
	shutdown (h2o_socket_get_fd (c->sock), SHUT_RDWR);
}

static const struct quota_ops conn_quota_ops = {on_drop};

static uint64_t
resident_bytes (const struct httpd *s)
{
	char buf[64] = "";
	char *at;

	if (pread (s->statm_fd, buf, sizeof buf - 1, 0) <= 0)
		return UINT64_MAX;
	at = strchr (buf, ' ');
	return at != NULL ? g_ascii_strtoull (at, NULL, 10) *
				    (uint64_t)sysconf (_SC_PAGESIZE)
			  : UINT64_MAX;
}

static void
on_sample (void *ctx)
{
	struct httpd *s = ctx;
	uint64_t now_ms = tmr_now_ms ();

	if (s->conns->len == 0)
		return;
	tmr_start (&s->sample_timer, SAMPLE_MS);
	if (resident_bytes (s) <= s->conf.quota->max_bytes)
		return;
	for (guint i = 0; i < s->conns->len; i++)
		conn_count (g_ptr_array_index (s->conns, i), now_ms);
}

static void
on_accept (h2o_socket_t *listener, const char *why)
{
	struct httpd *s = listener->data;
	struct httpd_conn *c;
	h2o_socket_t *sock;

	if (why != NULL)
		return;
	sock = h2o_evloop_socket_accept (listener);
	if (sock == NULL)
		return;
	c = g_new0 (struct httpd_conn, 1);
	c->s = s;
	c->sock = sock;
	c->refs = 1;
	if (!quota_join (s->conf.quota, &c->quota, &conn_quota_ops, false,
			 tmr_now_ms ())) {
		h2o_socket_close (sock);
		g_free (c);
		return;
	}
	if (s->conns->len == 0)
		tmr_start (&s->sample_timer, SAMPLE_MS);
	g_ptr_array_add (s->conns, c);
	s->connections++;
	sock->on_close.cb = on_conn_close;
	sock->on_close.data = c;
	/* At the bound, further connections wait in the kernel's backlog. */
	if (s->connections >= s->conf.max_connections)
		h2o_socket_read_stop (listener);
	h2o_accept (&s->accept, sock);
}

static SSL_CTX *
tls_context (const struct httpd_conf *conf, struct err *e)
{
	SSL_CTX *ctx = SSL_CTX_new (TLS_server_method ());
	const char *file = conf->tls_cert;

	SSL_CTX_set_min_proto_version (ctx, TLS1_2_VERSION);
	if (SSL_CTX_use_certificate_chain_file (ctx, conf->tls_cert) != 1)
		goto bad;
	file = conf->tls_key;
	if (SSL_CTX_use_PrivateKey_file (ctx, conf->tls_key,
					 SSL_FILETYPE_PEM) != 1 ||
	    SSL_CTX_check_private_key (ctx) != 1)
		goto bad;
	h2o_ssl_register_alpn_protocols (ctx, h2o_http2_alpn_protocols);
	return ctx;
bad:
	err_set (e, ERR_SETTINGS, "%s: %s", file,
		 ERR_reason_error_string (ERR_get_error ()));
	ERR_clear_error ();
	SSL_CTX_free (ctx);
	return NULL;
}

bool
httpd_reload_tls (struct httpd *s, struct err *e)
{
	SSL_CTX *ctx;

	if (s->conf.tls_cert == NULL)
		return true;
	ctx = tls_context (&s->conf, e);
	if (ctx == NULL)
		return false;
	/* Connections hold their own references to the old one. */
	if (s->accept.ssl_ctx != NULL)
		SSL_CTX_free (s->accept.ssl_ctx);
	s->accept.ssl_ctx = ctx;
	return true;
}

static bool
httpd_listen (struct httpd *s, struct err *e)
{
	int fd = link_listen_fd (&s->conf.addr, LISTEN_BACKLOG, &s->port, e);
	int buffer_bytes = KERNEL_BUFFER_BYTES;

	if (fd < 0)
		return false;
	/* Accepted connections inherit it. */
	setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		    sizeof buffer_bytes);
	s->listener = h2o_evloop_socket_create (s->loop, fd,
						H2O_SOCKET_FLAG_DONT_READ);
	s->listener->data = s;
	s->on_accept = on_accept;
	h2o_socket_read_start (s->listener, on_accept);
	return true;
}

bool
httpd_init (struct httpd *s, h2o_loop_t *loop, const struct httpd_conf *conf,
	    struct err *e)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct httpd_handler *h;

	memset (s, 0, sizeof *s);
	s->loop = loop;
	s->conf = *conf;
	if (s->conf.max_connections == 0)
		s->conf.max_connections = HTTPD_CONNECTIONS_DEFAULT;
	if (s->conf.quota == NULL) {
		quota_init (&s->own_quota, 0, 0, 2, 1);
		s->conf.quota = &s->own_quota;
	}
	s->conns = g_ptr_array_new ();
	s->statm_fd = open ("/proc/self/statm", O_RDONLY | O_CLOEXEC);
	tmr_init (&s->sample_timer, loop, on_sample, s);
	h2o_config_init (&s->global);
	s->global.max_request_entity_size = conf->max_body_bytes;
	s->global.server_name = h2o_iovec_init (H2O_STRLIT ("dragonflyhinge"));
	if (conf->io_timeout_ms != 0) {
		s->global.http1.req_timeout = conf->io_timeout_ms;
		s->global.http2.idle_timeout = conf->io_timeout_ms;
	}
	host = h2o_config_register_host (
		&s->global, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
	path = h2o_config_register_path (host, "/", 0);
	h = (struct httpd_handler *)h2o_create_handler (path, sizeof *h);
	h->super.on_req = on_req;
	h->server = s;
	h2o_context_init (&s->context, loop, &s->global);
	s->accept.ctx = &s->context;
	s->accept.hosts = s->global.hosts;
	if (!httpd_reload_tls (s, e) || !httpd_listen (s, e)) {
		httpd_finish (s);
		return false;
	}
	return true;
}

void
httpd_close_listener (struct httpd *s)
{
	if (s->listener != NULL)
		h2o_socket_close (s->listener);
	s->listener = NULL;
}

void
httpd_shutdown (struct httpd *s)
{
	h2o_context_request_shutdown (&s->context);
}

uint32_t
httpd_connections (const struct httpd *s)
{
	return s->connections;
}

void
httpd_finish (struct httpd *s)
{
	httpd_close_listener (s);
	if (s->accept.ssl_ctx != NULL)
		SSL_CTX_free (s->accept.ssl_ctx);
	s->accept.ssl_ctx = NULL;
	tmr_finish (&s->sample_timer);
	g_ptr_array_free (s->conns, TRUE);
	if (s->statm_fd >= 0)
		close (s->statm_fd);
	h2o_context_dispose (&s->context);
	h2o_config_dispose (&s->global);
}

bool
httpd_is_head (const h2o_req_t *req)
{
	return h2o_memis (req->input.method.base, req->input.method.len,
			  H2O_STRLIT ("HEAD"));
}

void
httpd_send (h2o_req_t *req, h2o_iovec_t *buf, h2o_send_state_t state)
{
	bool has_body = h1_has_body (req->res.status, httpd_is_head (req));

	h2o_send (req, buf, has_body && buf->len > 0 ? 1 : 0, state);
}

void
httpd_answer (h2o_req_t *req, int status, const char *type, const void *body,
	      size_t len)
{
	static h2o_generator_t whole;
	h2o_iovec_t buf = h2o_strdup (&req->pool, body, len);

	req->res.status = status;
	req->res.reason = status < 400 ? "OK" : "Error";
	req->res.content_length = len;
	h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
			NULL, h2o_strdup (&req->pool, type, SIZE_MAX).base,
			strlen (type));
	h2o_start_response (req, &whole);
	httpd_send (req, &buf, H2O_SEND_STATE_FINAL);
}

void
httpd_answer_json (h2o_req_t *req, int status, const char *json)
{
	httpd_answer (req, status, "application/json", json, strlen (json));
}

h2o_iovec_t
httpd_header (h2o_req_t *req, const char *name)
{
	size_t len = strlen (name);

	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *h = &req->headers.entries[i];

		if (h->name->len == len &&
		    strncasecmp (h->name->base, name, len) == 0)
			return h->value;
	}
	return h2o_iovec_init (NULL, 0);
}

void
httpd_add_header (h2o_req_t *req, const char *name, const char *value)
{
	h2o_iovec_t v = h2o_strdup (&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str (&req->pool, &req->res.headers, name,
			       strlen (name), 0, NULL, v.base, v.len);
}

bool
httpd_bearer_is (h2o_req_t *req, const char *token)
{
	h2o_iovec_t v = httpd_header (req, "authorization");
	size_t len = strlen (token);

	return v.base != NULL && v.len == len + 7 &&
	       strncasecmp (v.base, "bearer ", 7) == 0 &&
	       sodium_memcmp (v.base + 7, token, len) == 0;
}

bool
httpd_path_is (h2o_req_t *req, const char *path)
{
	size_t len = req->query_at != SIZE_MAX ? req->query_at : req->path.len;

	return len == strlen (path) && memcmp (req->path.base, path, len) == 0;
}

bool
httpd_query (h2o_req_t *req, const char *name, char *out, size_t size)
{
	const char *p, *end = req->path.base + req->path.len;
	size_t name_len = strlen (name);

	if (req->query_at == SIZE_MAX)
		return false;
	for (p = req->path.base + req->query_at + 1; p < end;) {
		const char *amp = memchr (p, '&', (size_t)(end - p));
		const char *stop = amp != NULL ? amp : end;
		size_t len = (size_t)(stop - p);

		if (len > name_len && p[name_len] == '=' &&
		    memcmp (p, name, name_len) == 0) {
			len -= name_len + 1;
			if (len >= size)
				return false;
			memcpy (out, p + name_len + 1, len);
			out[len] = '\0';
			return true;
		}
		p = stop + 1;
	}
	return false;
}
