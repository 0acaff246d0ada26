/*
 * The tables of the inventory: the single source of its names, types, ranges
 * and defaults.  A default never changes, because canonical text leaves it
 * out.
 */
#include "inv_priv.h"

static const char *const kind_words[] = {"engine", "service", NULL};
static const char *const route_words[] = {"chat", "completions", "models",
					  "service", NULL};
static const char *const action_words[] = {
	"class", "deny", "avoid", "only", "no_reclaimable", NULL,
};

#define ROW(name_, type_, member_, ...)                                        \
	SET_ROW (name_, type_, STRUCT, member_, __VA_ARGS__)

#define STRUCT struct inv_settings
static const struct set_row settings_rows[] = {
	ROW ("window_s", SET_U32, window_s, .def = "60", .min = 1, .max = 86400,
	     .doc = "Length of a usage window, in seconds."),
	ROW ("window_grace_s", SET_U32, window_grace_s, .def = "5", .min = 1,
	     .max = 3600,
	     .doc = "Wait after a usage window's end before its figures are "
		    "sealed, in seconds."),
	ROW ("request_max_bytes", SET_U32, request_max_bytes, .def = "4194304",
	     .min = 1024, .max = 4194304,
	     .doc = "Largest body of a request, in bytes."),
	ROW ("key_max_age_s", SET_U32, key_max_age_s, .def = "0",
	     .max = 31536000,
	     .doc = "An entry that has heard from no control member with a "
		    "quorum "
		    "for so long refuses all keys; 0: never."),
	ROW ("budget_per_h", SET_U32, budget_per_h, .def = "0",
	     .doc = "Most to spend on endpoints, in millionths of the currency "
		    "an hour; 0: no bound."),
	ROW ("retry_permille", SET_U16, retry_permille, .def = "100",
	     .max = 1000,
	     .doc = "Retries allowed, in thousandths of a class's requests."),
	ROW ("suspect_strikes", SET_U16, suspect_strikes, .def = "3", .min = 1,
	     .max = 100,
	     .doc = "Endpoints lost under one request before it is refused as "
		    "a suspected crash cause."),
	ROW ("suspect_ttl_s", SET_U32, suspect_ttl_s, .def = "600", .min = 1,
	     .max = 86400,
	     .doc = "How long a suspected crash cause is remembered, in "
		    "seconds."),
	ROW ("cold_answers", SET_U16, cold_answers, .def = "20", .min = 1,
	     .max = 10000,
	     .doc = "Whole answers, through all entries, that an endpoint "
		    "gives under its cold bound before its bound rises."),
	ROW ("cold_ramp_s", SET_U32, cold_ramp_s, .def = "60", .max = 86400,
	     .doc = "Time that the rise to its warm bound takes then, in "
		    "seconds."),
	ROW ("scale", SET_BOOL, scale,
	     .doc = "Order and release endpoints by attainment, price and "
		    "risk of reclaim, within `budget_per_h`, which must be "
		    "set."),
	ROW ("scale_least", SET_U16, scale_least, .def = "1",
	     .doc = "Endpoints kept in each failure domain that is not "
		    "drained."),
	ROW ("scale_cheap_permille", SET_U16, scale_cheap_permille,
	     .def = "500", .max = 1000,
	     .doc = "Most endpoints that may be reclaimable when one is "
		    "ordered, in thousandths."),
	ROW ("scale_attain_permille", SET_U16, scale_attain_permille,
	     .def = "950", .min = 1, .max = 990,
	     .doc = "Attainment below this is a shortage, in thousandths; "
		    "endpoints are released only at 990 and above."),
	ROW ("scale_short_s", SET_U32, scale_short_s, .def = "10", .min = 1,
	     .max = 3600,
	     .doc = "How long a shortage lasts before an endpoint is ordered, "
		    "in seconds."),
	ROW ("scale_idle_s", SET_U32, scale_idle_s, .def = "300", .min = 1,
	     .max = 86400,
	     .doc = "How long a surplus lasts before an endpoint is released, "
		    "in seconds."),
	ROW ("scale_settle_s", SET_U32, scale_settle_s, .def = "30", .min = 1,
	     .max = 3600,
	     .doc = "Pause after an order, a release or a change of leader, "
		    "in seconds."),
	SET_ROW_END,
};
#undef STRUCT

#define STRUCT struct inv_domain
static const struct set_row domain_rows[] = {
	ROW ("name", SET_NAME, name, .required = true,
	     .doc = "Name of the failure domain."),
	ROW ("region", SET_NAME, region,
	     .doc = "Region it lies in; domains of one region are closer."),
	ROW ("drained", SET_BOOL, drained,
	     .doc = "Taken out by operators: no new work goes there."),
	ROW ("new_like", SET_NAME, new_like,
	     .doc = "Endpoint that an endpoint ordered here is like, price "
		    "included; absent: none is ordered."),
	ROW ("cheap_like", SET_NAME, cheap_like,
	     .doc = "The same for a reclaimable one."),
	SET_ROW_END,
};
#undef STRUCT

#define STRUCT struct inv_entry
static const struct set_row entry_rows[] = {
	ROW ("name", SET_NAME, name, .required = true,
	     .doc = "Name of the entry instance."),
	ROW ("domain", SET_NAME, domain, .required = true,
	     .doc = "Its failure domain."),
	ROW ("peer", SET_ADDR, peer, .required = true, .min = 1,
	     .doc = "Its peer listener."),
	SET_ROW_END,
};
#undef STRUCT

#define STRUCT struct inv_class
static const struct set_row class_rows[] = {
	ROW ("name", SET_NAME, name, .required = true,
	     .doc = "Name of the request class."),
	ROW ("tier", SET_U8, tier, .required = true, .min = 1, .max = INV_TIERS,
	     .doc = "Priority; 1 is the highest."),
	ROW ("ttft_ms", SET_U32, ttft_ms, .required = true, .min = 1,
	     .max = 3600000,
	     .doc = "Target for the first token or a service's answer, in "
		    "milliseconds."),
	ROW ("itl_ms", SET_U32, itl_ms, .def = "100", .min = 1, .max = 3600000,
	     .doc = "Target between tokens, in milliseconds."),
	ROW ("deadline_ms", SET_U32, deadline_ms, .def = "10000", .min = 1,
	     .max = 3600000, .doc = "Longest wait in queue, in milliseconds."),
	ROW ("total_ms", SET_U32, total_ms, .def = "600000", .min = 1,
	     .max = 86400000, .doc = "Longest whole request, in milliseconds."),
	ROW ("share_permille", SET_U16, share_permille, .def = "10", .min = 1,
	     .max = 1000,
	     .doc = "Minimum share of dispatches, in thousandths; all classes "
		    "together at most 1000."),
	ROW ("queue_max", SET_U32, queue_max, .def = "1000", .min = 1,
	     .max = 1000000,
	     .doc = "Most requests of the class queued at one entry."),
	SET_ROW_END,
};
#undef STRUCT

#define STRUCT struct inv_account
static const struct set_row account_rows[] = {
	ROW ("name", SET_NAME, name, .required = true,
	     .doc = "Name of the client account."),
	ROW ("class", SET_NAME, klass,
	     .doc = "Class of its requests where neither route nor header "
		    "names one."),
	ROW ("weight", SET_U32, weight, .def = "1", .min = 1, .max = 10000,
	     .doc = "Its weight against other accounts in a class."),
	ROW ("rate_per_s", SET_U32, rate_per_s, .def = "0", .max = 1000000,
	     .doc = "Most requests a second over all entries; 0: no limit."),
	ROW ("concurrency", SET_U32, concurrency, .def = "0", .max = 1000000,
	     .doc = "Most requests at once over all entries; 0: no limit."),
	SET_ROW_END,
};
#undef STRUCT

#define STRUCT struct inv_key
static const struct set_row key_rows[] = {
	ROW ("id", SET_NAME, id, .required = true,
	     .doc = "Id of the key; never granted again once withdrawn."),
	ROW ("account", SET_NAME, account, .required = true,
	     .doc = "The client account it stands for."),
	ROW ("hash", SET_HEX, hash, .required = true,
	     .doc = "Keyed hash of the key, as `dhctl grant` makes it."),
	SET_ROW_END,
};
#undef STRUCT

#define STRUCT struct inv_endpoint_obj
static const struct set_row endpoint_rows[] = {
	ROW ("name", SET_NAME, ep.name, .required = true,
	     .doc = "Name of the endpoint."),
	ROW ("domain", SET_NAME, ep.domain, .required = true,
	     .doc = "Its failure domain."),
	ROW ("addr", SET_ADDR, ep.addr, .required = true, .min = 1,
	     .doc = "Where it listens."),
	ROW ("kind", SET_ENUM, ep.kind, .words = kind_words,
	     .def = "\"engine\"", .doc = "A model engine or a plain service."),
	ROW ("group", SET_NAME, ep.group,
	     .doc = "A service's group; routes name it."),
	ROW ("models", SET_LIST, models, .max = INV_MODELS_MAX,
	     .doc = "Models that an engine serves."),
	ROW ("price_per_h", SET_U32, ep.price_per_h, .def = "0",
	     .doc = "Price, in millionths of the currency an hour."),
	ROW ("reclaimable", SET_BOOL, ep.reclaimable,
	     .doc = "Cheap; the platform may take it back at short notice."),
	ROW ("cold_bound", SET_U16, ep.cold_bound, .def = "1", .min = 1,
	     .doc = "Requests at once that it bears in cold start."),
	ROW ("warm_bound", SET_U16, ep.warm_bound, .def = "8", .min = 1,
	     .doc = "Requests at once that it bears when warm."),
	ROW ("checks_fence", SET_BOOL, ep.checks_fence,
	     .doc = "Rejects orders that carry an old fencing number."),
	ROW ("resumes", SET_BOOL, ep.resumes,
	     .doc = "Can resume a stream from tokens given."),
	ROW ("drained", SET_BOOL, ep.drained,
	     .doc = "Taken out by operators: no new work goes there."),
	ROW ("elastic", SET_BOOL, ep.elastic,
	     .doc = "May be released under `scale`; set on those that it "
		    "ordered."),
	ROW ("releasing", SET_BOOL, ep.releasing,
	     .doc = "Given back once it is empty; set under `scale`, together "
		    "with `drained`."),
	SET_ROW_END,
};
#undef STRUCT

#define STRUCT struct inv_route
static const struct set_row route_rows[] = {
	ROW ("name", SET_NAME, name, .required = true,
	     .doc = "Name of the route."),
	ROW ("prefix", SET_STRING, prefix, .required = true,
	     .doc = "Path prefix; the longest that fits wins."),
	ROW ("kind", SET_ENUM, kind, .required = true, .words = route_words,
	     .doc = "What it serves."),
	ROW ("group", SET_NAME, group,
	     .doc = "For kind \"service\": the group of endpoints behind it."),
	ROW ("class", SET_NAME, klass,
	     .doc = "Class of its requests; absent: header or account "
		    "decides."),
	ROW ("repeatable", SET_BOOL, repeatable, .def = "true",
	     .doc = "False: a call runs at most once and is named by its "
		    "Idempotency-Key."),
	ROW ("open", SET_BOOL, open,
	     .doc = "Open to all: serves callers without a key."),
	SET_ROW_END,
};
#undef STRUCT

#define STRUCT struct inv_rule
static const struct set_row rule_rows[] = {
	ROW ("name", SET_NAME, name, .required = true,
	     .doc = "Name of the rule."),
	ROW ("order", SET_U32, order, .def = "0",
	     .doc = "Rules apply in this order, and by name where it is "
		    "equal."),
	ROW ("account", SET_NAME, account,
	     .doc = "Client account it matches; absent: all."),
	ROW ("class", SET_NAME, klass, .doc = "Class it matches; absent: all."),
	ROW ("model", SET_STRING, model,
	     .doc = "Model it matches; absent: all."),
	ROW ("action", SET_ENUM, action, .required = true,
	     .words = action_words,
	     .doc = "`class`: put the request into class `target`; `deny`: "
		    "refuse it; `avoid`: no new work to domain `target`; "
		    "`only`: only domain `target`; `no_reclaimable`: no "
		    "endpoint that the platform may take back."),
	ROW ("target", SET_NAME, target,
	     .doc = "Class or failure domain that the action needs."),
	SET_ROW_END,
};
#undef STRUCT

const struct inv_table inv_tables[INV_SECTIONS] = {
	[INV_SETTINGS] = {"settings", NULL, settings_rows,
			  sizeof (struct inv_settings), "settings"},
	[INV_DOMAINS] = {"domains", "name", domain_rows,
			 sizeof (struct inv_domain),
			 "domains: failure domains"},
	[INV_ENTRIES] = {"entries", "name", entry_rows,
			 sizeof (struct inv_entry), "entries: entry instances"},
	[INV_CLASSES] = {"classes", "name", class_rows,
			 sizeof (struct inv_class), "classes: request classes"},
	[INV_ACCOUNTS] = {"accounts", "name", account_rows,
			  sizeof (struct inv_account),
			  "accounts: client accounts"},
	[INV_KEYS] = {"keys", "id", key_rows, sizeof (struct inv_key),
		      "keys: granted keys"},
	[INV_ENDPOINTS] = {"endpoints", "name", endpoint_rows,
			   sizeof (struct inv_endpoint_obj), "endpoints"},
	[INV_ROUTES] = {"routes", "name", route_rows, sizeof (struct inv_route),
			"routes"},
	[INV_RULES] = {"rules", "name", rule_rows, sizeof (struct inv_rule),
		       "rules"},
};

const char *
inv_section_name (enum inv_section s)
{
	return inv_tables[s].name;
}

void
inv_describe (GString *out)
{
	for (int s = 0; s < INV_SECTIONS; s++)
		set_describe (inv_tables[s].rows, inv_tables[s].title, out);
}

const struct msg_field inv_change_fields[] = {
	MSG_FIELD (1, MSG_U8, struct inv_change, section),
	MSG_FIELD (2, MSG_STR, struct inv_change, name),
	MSG_FIELD_BYTES (3, struct inv_change, json, INV_OBJECT_MAX_BYTES),
	MSG_FIELD_END,
};

const struct msg_field inv_delta_fields[] = {
	MSG_FIELD_LIST (1, struct inv_delta, changes, struct inv_change,
			inv_change_fields, INV_CHANGES_MAX),
	MSG_FIELD_END,
};
