/*
 * Reader of the platform's paged list of endpoints.
 */
#include <string.h>

#include "eplist.h"
#include "log.h"

/* A few round trips within one region. */
#define CONNECT_TIMEOUT_MS 500

/* For each page; the platform may be slow. */
#define PAGE_TIMEOUT_MS 3000

/* Delay after which a rate limited page is requested again. */
#define RATE_LIMITED_DELAY_MS 60
#define STATUS_TOO_MANY_REQUESTS 429

/* Fits a page of 8,192 entries of 1 kB. */
#define BODY_MAX_BYTES (8U << 20)

/* The longest list that is held, in pages of 8 entries. */
#define PAGES_MAX (FLEET_LIST_MAX / 8)

static void request_page (struct eplist *l);

/* Requests the page of a token; NULL is the first page. */
static void
fetch_page (struct eplist *l, const char *token)
{
	g_free (l->page_token);
	l->page_token = g_strdup (token);
	request_page (l);
}

static void
on_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	struct eplist *l = ctx;

	(void)x;
	(void)echoed;
	l->status = h->status;
}

static void
on_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	struct eplist *l = ctx;

	(void)x;
	if (l->body->len + len <= BODY_MAX_BYTES)
		g_string_append_len (l->body, data, (gssize)len);
	else
		l->status = 0; /* on_done() fails the read */
}

static void
drop_entries (struct eplist *l)
{
	if (l->entries != NULL)
		g_array_free (l->entries, TRUE);
	l->entries = NULL;
}

/* The platform states the rest of a cold start as of its answer, and the age of
 * the list counts from the start of the read.  Adds the time between to the
 * entries from @first on, so that none is taken for warm too early. */
static void
extend_cold (struct eplist *l, guint first)
{
	uint32_t elapsed_ms = (uint32_t)(tmr_now_ms () - l->started_ms);

	for (guint i = first; i < l->entries->len; i++) {
		struct fleet_info *info =
			&g_array_index (l->entries, struct fleet_info, i);

		if (info->cold_remaining_ms > 0)
			info->cold_remaining_ms += elapsed_ms;
	}
}

/* Drops entries from @first on that the list can't hold, and those whose id was
 * read before: which of them is right can't be told, and the first one is as
 * likely to be. */
static void
drop_surplus (struct eplist *l, guint first)
{
	guint kept = first;

	for (guint i = first; i < l->entries->len; i++) {
		struct fleet_info info =
			g_array_index (l->entries, struct fleet_info, i);

		if (kept < FLEET_LIST_MAX &&
		    g_hash_table_add (l->ids, g_strdup (info.id)))
			g_array_index (l->entries, struct fleet_info, kept++) =
				info;
	}
	l->skipped.count += l->entries->len - kept;
	if (kept < l->entries->len && l->skipped.first[0] == '\0')
		g_strlcpy (l->skipped.first,
			   "an id for the second time, or list too long",
			   sizeof l->skipped.first);
	g_array_set_size (l->entries, kept);
}

/* Logs which entries were left out, where that differs from the last read. */
static void
log_skipped (struct eplist *l)
{
	struct dia_skipped *told = &l->skipped_told;

	if (l->skipped.count == told->count &&
	    strcmp (l->skipped.first, told->first) == 0)
		return;
	*told = l->skipped;
	log_event (told->count > 0 ? LOG_LV_WARN : LOG_LV_INFO, "list-entries",
		   "skipped=%u first=\"%s\"", told->count, told->first);
}

/* Whether the page of @token may be read.  A list whose pages come round or
 * have no end is never whole. */
static bool
check_token (struct eplist *l, const char *token, struct err *e)
{
	if (!g_hash_table_add (l->tokens, g_strdup (token)))
		return err_set (e, ERR_PROTOCOL,
				"list of endpoints: the token of a page "
				"repeats");
	if (g_hash_table_size (l->tokens) >= PAGES_MAX)
		return err_set (e, ERR_PROTOCOL,
				"list of endpoints: over %u pages", PAGES_MAX);
	return true;
}

static void
on_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct eplist *l = ctx;
	struct err e = {0};
	guint first = l->entries->len;
	char *next = NULL;
	GArray *list;

	(void)x;
	l->call = NULL;
	if (l->retry_rate_limited && end == H1CLI_WHOLE &&
	    l->status == STATUS_TOO_MANY_REQUESTS) {
		l->retry_at_ms = tmr_now_ms () + RATE_LIMITED_DELAY_MS;
		return;
	}
	if (end != H1CLI_WHOLE || l->status != 200)
		err_set (&e, ERR_IO, "page request failed: status %d, end %d",
			 l->status, end);
	else
		l->dialect->parse_list (l->body->str, l->body->len, l->entries,
					&next, &l->skipped, &e);
	if (next != NULL)
		check_token (l, next, &e);
	if (e.kind == ERR_NONE) {
		drop_surplus (l, first);
		extend_cold (l, first);
	}
	if (e.kind != ERR_NONE) {
		drop_entries (l);
		l->ops->failed (e.msg, l->ctx);
	} else if (next != NULL) {
		l->progress_ms = tmr_now_ms ();
		fetch_page (l, next);
	} else {
		list = l->entries;
		l->entries = NULL;
		log_skipped (l);
		l->ops->done (list, l->skipped.count, l->ctx);
	}
	g_free (next);
}

static const struct h1cli_ops call_ops = {
	.head = on_head,
	.data = on_data,
	.done = on_done,
};

static void
request_page (struct eplist *l)
{
	char *path = l->dialect->list_path (l->page_token);
	char *text = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: platform\r\n"
				      "\r\n",
				      path);
	struct h1cli_req req = {.bytes = text,
				.len = strlen (text),
				.idle_max_ms = PAGE_TIMEOUT_MS,
				.connect_ms = CONNECT_TIMEOUT_MS,
				.limits = {.user_timeout_ms = PAGE_TIMEOUT_MS}};

	l->retry_at_ms = 0;
	l->call_count++;
	l->status = 0;
	g_string_truncate (l->body, 0);
	l->call = h1cli_start (l->host, &req, &call_ops, l);
	g_free (text);
	g_free (path);
}

void
eplist_init (struct eplist *l, struct h1cli_host *host,
	     const struct dialect *dialect, const struct eplist_ops *ops,
	     void *ctx)
{
	*l = (struct eplist){
		.host = host, .dialect = dialect, .ops = ops, .ctx = ctx};
	l->body = g_string_new (NULL);
	l->tokens =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	l->ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
eplist_cancel (struct eplist *l)
{
	if (l->call != NULL)
		h1cli_cancel (l->call);
	l->call = NULL;
	l->retry_at_ms = 0;
	drop_entries (l);
}

void
eplist_finish (struct eplist *l)
{
	eplist_cancel (l);
	g_hash_table_destroy (l->tokens);
	g_hash_table_destroy (l->ids);
	g_free (l->page_token);
	g_string_free (l->body, TRUE);
}

void
eplist_start (struct eplist *l, uint64_t now_ms)
{
	l->started_ms = l->progress_ms = now_ms;
	l->skipped = (struct dia_skipped){0};
	l->call_count = 0;
	g_hash_table_remove_all (l->tokens);
	g_hash_table_remove_all (l->ids);
	drop_entries (l);
	l->entries = g_array_new (FALSE, TRUE, sizeof (struct fleet_info));
	fetch_page (l, NULL);
}

bool
eplist_is_running (const struct eplist *l)
{
	return l->call != NULL || l->retry_at_ms != 0;
}

bool
eplist_rate_limited (const struct eplist *l)
{
	return l->status == STATUS_TOO_MANY_REQUESTS;
}

uint64_t
eplist_interval_ms (const struct eplist *l, uint64_t min_ms, double calls_per_s)
{
	return MAX (min_ms, (uint64_t)(l->call_count * 1000 /
				       (EPLIST_RATE_SHARE * calls_per_s)));
}

void
eplist_tick (struct eplist *l, uint64_t now_ms)
{
	if (!eplist_is_running (l))
		return;
	if (now_ms <= l->progress_ms + PAGE_TIMEOUT_MS) {
		if (l->retry_at_ms != 0 && now_ms >= l->retry_at_ms)
			request_page (l);
		return;
	}
	eplist_cancel (l);
	l->ops->failed ("no answer within the time limit", l->ctx);
}
