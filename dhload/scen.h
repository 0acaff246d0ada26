#ifndef DH_SCEN_H
#define DH_SCEN_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

#include "err.h"

/*
 * A scenario: what is sent where, when, and what goes wrong meanwhile.
 */

#define SCEN_NAME_BYTES 64

/** enum scen_kind - what a stream of requests asks for */
enum scen_kind {
	SCEN_CHAT,
	SCEN_COMPLETIONS,
	SCEN_CALL, /* a plain service */
};

/** enum scen_shape - shapes of a length distribution */
enum scen_shape {
	SCEN_CONST,
	SCEN_UNIFORM,
	SCEN_EXP,
	SCEN_LOGNORMAL, /* sigma 1 */
};

/** struct scen_dist - a distribution of lengths */
struct scen_dist {
	enum scen_shape shape;
	double mean;
	double min;
	double max;
};

/** struct scen_target - an entry, or an endpoint asked directly */
struct scen_target {
	char name[SCEN_NAME_BYTES];
	char addr[SCEN_NAME_BYTES];
};

/** struct scen_standin - a stand-in whose counters are read */
struct scen_standin {
	char name[SCEN_NAME_BYTES];
	char addr[SCEN_NAME_BYTES];
	char domain[SCEN_NAME_BYTES];
	double price_per_h;
	bool reclaimable;
	bool service;
};

/** struct scen_class - a request class and its targets */
struct scen_class {
	char name[SCEN_NAME_BYTES];
	uint64_t tier;
	double weight;
	double ttft_ms;
	double itl_ms; /* 0: no target */
};

/** struct scen_account - a client account */
struct scen_account {
	char name[SCEN_NAME_BYTES];
	char key[SCEN_NAME_BYTES];
	double weight; /* its share under contention */
	double part;   /* its part of the arrivals */
};

/** struct scen_burst - a time of higher rate */
struct scen_burst {
	double at_s;
	double for_s;
	double factor;
};

/** struct scen_load - one stream of requests */
struct scen_load {
	char name[SCEN_NAME_BYTES];
	enum scen_kind kind;
	char klass[SCEN_NAME_BYTES];
	char model[SCEN_NAME_BYTES];
	char path[SCEN_NAME_BYTES * 2];
	char method[SCEN_NAME_BYTES];
	double rate_per_s;
	bool stream;
	bool once; /* sends an Idempotency-Key; must run at most once */
	uint64_t concurrency; /* keep so many in flight, whatever the rate */
	uint64_t resend;   /* times to send such a call again, on any entry */
	uint64_t prefixes; /* distinct shared prefixes, 0 for none */
	uint64_t prefix_bytes;
	uint64_t max_tokens;
	struct scen_dist prompt; /* bytes */
	struct scen_dist output; /* tokens */
	GArray *bursts;          /* of struct scen_burst */
	GPtrArray *account_names;
	GPtrArray *target_names;
	/* resolved */
	uint32_t class_ix;
	GArray *accounts; /* of uint32_t */
	GArray *targets;  /* of uint32_t */
};

/** struct scen_fault - something that goes wrong */
struct scen_fault {
	double at_s;
	char addr[SCEN_NAME_BYTES]; /* POST /_fault there */
	char set[SCEN_NAME_BYTES * 4];
	char pid_file[SCEN_NAME_BYTES * 4]; /* or signal this process */
	uint64_t pid;
	uint64_t signal;
};

/** struct scen - a scenario; the caller owns the memory */
struct scen {
	char name[SCEN_NAME_BYTES];
	char class_header[SCEN_NAME_BYTES];
	uint64_t seed;
	double duration_s;
	double drain_s;
	double warmup_s; /* requests that arrive before it are not counted */
	bool verify;     /* answers carry the stand-in's tokens */
	GArray *targets;
	GArray *standins;
	GArray *classes;
	GArray *accounts;
	GArray *loads;
	GArray *faults;
};

/**
 * scen_load() - read a scenario
 * @s: filled in; release with scen_finish()
 * @path: a file of JSON with comments
 * @defs: "NAME=VALUE" strings: ${NAME} in the text stands for VALUE
 * @e: ERR_IO or ERR_SETTINGS with the cause
 */
bool scen_load (struct scen *s, const char *path, const GPtrArray *defs,
		struct err *e);

/** scen_finish() - release a scenario */
void scen_finish (struct scen *s);

/** scen_draw() - a length drawn from @d */
uint64_t scen_draw (const struct scen_dist *d, GRand *rand);

/** scen_rate() - the rate of @l at @t_s, in requests a second */
double scen_rate (const struct scen_load *l, double t_s);

/** scen_max_rate() - the highest rate @l ever has */
double scen_max_rate (const struct scen_load *l);

#endif
