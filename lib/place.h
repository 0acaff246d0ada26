#ifndef DH_PLACE_H
#define DH_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "dialect.h"
#include "fleet.h"
#include "plan.h"

/*
 * Choice of the endpoint for a request, for these kinds of load:
 *
 * Prompts with long shared prefix segments that together exceed the KV cache of
 * one engine but not that of the pool.  Every relay derives a preferred engine
 * from the same hash of a prompt's shared segments, so that a segment is
 * prefilled on one engine and stays cached there.  The predicted time to the
 * first token decides between the preferred engine, those that cache the
 * segments, and a random sample of the others.
 *
 * Long prompts besides streams that need short gaps between tokens.  An engine
 * prefills prompts in chunks between decode steps, so a long prompt slows every
 * stream on its engine.  In each failure domain some engines form a lane for
 * short prompts; the others take the long ones.  A request leaves its lane only
 * if the other is much faster, or if it is a short prompt that would have to
 * wait in its own lane.
 *
 * Prefixes that are cached on another engine than the best one.  The KV cache
 * is copied from there, which is faster than to prefill and takes no compute
 * time of the engine.
 *
 * More streams than the lane for short prompts runs at once, such as a burst of
 * questions after a reclaim.  An engine runs a fixed number of requests; the
 * next one waits until a stream ends.  That wait is part of the prediction, and
 * a short prompt goes to the other lane if its own has no free slot.
 *
 * More prompts than can be prefilled.  An engine processes prompts roughly in
 * order of arrival, so a request can't overtake a backlog there.  Beyond a
 * limit it waits in the relay, where more urgent requests go first.
 */

#define PLACE_TRIED_MAX 8

/* Nominal prefill rate, by which the cost of prefill and the demand for engines
 * are counted. */
#define PLACE_PREFILL_PER_MS SPEED_PREFILL_PER_MS

/**
 * struct place_req - a request that needs an endpoint
 * @service: service whose endpoints can take it
 * @segments: segments of its prompt, the last one being its own
 * @segment_count: number of @segments
 * @prompt_tokens: length of the prompt
 * @max_backlog_ms: prefill backlog of an engine beyond which the request waits
 * @gap_target_ms: longest pause between the events of its stream that is in
 *	time; 0: any is, or speeds aren't learned
 * @shared_room: the relays send waiting requests at a common rate
 * @room_is_short: more waits than the engines have room for
 * @unseen_ms: prefill time that peers are expected to have sent to any engine
 *	since their loads were reported; see dispatch_unseen_ms()
 * @may_repeat: it may run again elsewhere if an endpoint breaks it
 * @late: half of its latency objective has passed; from then on only latency
 *	counts, and not the cost of prefilling cached segments again
 * @tried: endpoints that received it already, which are left out
 * @tried_count: number of @tried
 * @random: random value, for sampling and tie breaking
 * @side: side of the service whose endpoints may take it
 * @focus: only so many available endpoints, the same ones at all relays; 0: all
 * @focus_near: those of the relay's failure domain come first
 */
struct place_req {
	const struct plan_service *service;
	const struct dia_segment *segments;
	uint32_t segment_count;
	uint32_t prompt_tokens;
	double max_backlog_ms;
	double gap_target_ms;
	bool shared_room;
	bool room_is_short;
	double unseen_ms;
	bool may_repeat;
	bool late;
	const struct fleet_ep *tried[PLACE_TRIED_MAX];
	uint32_t tried_count;
	uint32_t random;
	enum fleet_side side;
	uint32_t focus;
	bool focus_near;
};

/**
 * struct place_relay - the relay that chooses
 * @domain: its failure domain
 * @hash: hash of its name
 * @relay_count: relays that share the endpoints, at least 1
 */
struct place_relay {
	const char *domain;
	uint32_t hash;
	uint32_t relay_count;
};

/** enum place_reason - why an endpoint was chosen, or none */
enum place_reason {
	PLACE_NONE,       /* no endpoint is available */
	PLACE_FULL,       /* those available have no free slot for this relay */
	PLACE_BUSY,       /* the prefill backlog of the best one is too long */
	PLACE_PREFERRED,  /* the preferred engine of the prompt's prefix */
	PLACE_CACHED,     /* another one that caches the prefix and is faster */
	PLACE_SPILL,      /* another engine of the prompt's lane */
	PLACE_OTHER_LANE, /* an engine of the other lane */
	PLACE_LEAST, /* least loaded endpoint of a service without engines */
	PLACE_COPY,  /* where a copy of the run is kept */
};

/**
 * struct place_result - the choice
 * @ep: the endpoint; NULL for PLACE_NONE, PLACE_FULL and PLACE_BUSY
 * @reason: why
 * @ttft_ms: predicted time to the first token
 * @prefill_tokens: prompt tokens that the engine has to prefill
 * @nominal_ms: prefill time of its backlog and these tokens at the nominal rate
 * @backlog_tokens: known backlog of the engine
 * @copy_from: engine to copy the KV cache of segments from, or NULL
 */
struct place_result {
	struct fleet_ep *ep;
	enum place_reason reason;
	double ttft_ms;
	double prefill_tokens;
	double nominal_ms;
	double backlog_tokens;
	const struct fleet_ep *copy_from;
};

/**
 * place_assign_lanes() - assign the engines to lanes and choose the subset
 * whose load is reported to this relay
 * @f: the endpoints
 *
 * To be called after each change of the endpoint list.
 */
void place_assign_lanes (struct fleet *f);

/**
 * place_choose() - choose an endpoint for a request
 * @f: the endpoints as this relay knows them
 * @relay: this relay
 * @req: the request
 * @now_ms: current time
 *
 * Endpoints with a high error rate, and those that peers find down, are chosen
 * only if no other is available.
 *
 * Return: the endpoint, or the reason why there is none.
 */
struct place_result place_choose (const struct fleet *f,
				  const struct place_relay *relay,
				  const struct place_req *req, uint64_t now_ms);

/**
 * place_room_tokens() - free room of a service's engines, by the known loads
 * @f: the endpoints
 * @service: their service
 * @max_backlog_ms: prefill backlog up to which an engine has room
 * @now_ms: current time
 *
 * Return: prompt tokens that could be sent to all of them together.
 */
double place_room_tokens (const struct fleet *f,
			  const struct plan_service *service,
			  double max_backlog_ms, uint64_t now_ms);

/**
 * place_choose_backup() - choose the engine that keeps a copy of a run
 * @f: the endpoints
 * @ep: the engine that runs the request
 * @service: its service
 * @tokens: length of the prompt and of the longest answer
 * @random: random value
 * @now_ms: current time
 *
 * Engines of a failure domain are reclaimed together, so the copy is kept in
 * another one if there is one.  Copies take memory and links, so they are kept
 * only of small runs, and while engines are being lost.
 *
 * Return: a warm engine in use; NULL if none was lost lately, the run is too
 * large, or a few draws found none.
 */
struct fleet_ep *place_choose_backup (const struct fleet *f,
				      const struct fleet_ep *ep,
				      const struct plan_service *service,
				      uint32_t tokens, uint32_t random,
				      uint64_t now_ms);

/**
 * place_should_advertise() - whether to tell peers which engine caches a prefix
 * @f: the endpoints
 * @v: where the prompt was sent
 * @segments: segments of the prompt
 * @count: number of @segments
 *
 * The volume of such reports grows with requests times relays.  Prefixes too
 * short to affect a choice are not advertised.  With more than
 * FLEET_SUBSET_THRESHOLD endpoints neither are those on their preferred engine,
 * which all relays compute without a report.
 */
bool place_should_advertise (const struct fleet *f,
			     const struct place_result *v,
			     const struct dia_segment *segments,
			     uint32_t count);

/**
 * place_reason_name() - name of a reason in log lines
 * @reason: a reason
 *
 * Return: a static string, "?" for an unknown value.
 */
const char *place_reason_name (enum place_reason reason);

#endif
