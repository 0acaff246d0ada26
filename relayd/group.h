#ifndef DH_RELAYD_GROUP_H
#define DH_RELAYD_GROUP_H

/*
 * What a relay has to do with the members of its group; included by relayd.h.
 */

/* member.c: links to the members of the group */

/* State of a member that hears no leader is accepted only this long after the
 * start, so that a starting relay doesn't begin with an outdated state while a
 * member that hears the leader can still be reached. */
#define MEMBER_NO_LEADER_WAIT_MS 2500
void member_init (struct relay *r);
void member_finish (struct relay *r);
void member_tick (struct relay *r, uint64_t now_ms);

/** member_is_authoritative() - whether configuration and list of a member may
 * be applied, see MEMBER_NO_LEADER_WAIT_MS */
bool member_is_authoritative (const struct relay *r,
			      const struct group_member *m, uint64_t now_ms);

/** member_is_answering() - source_is_answering() for a member of the group */
bool member_is_answering (const struct source *s, uint64_t now_ms);

/* watch.c: whether the relay is in touch with its group */

/** member_reload_seeds() - take the seeds from the settings file again */
void member_reload_seeds (struct relay *r);

/** member_watch_group() - do so while the relay is out of touch */
void member_watch_group (struct relay *r, uint64_t now_ms);

/* config.c: the configuration, fetched from the members */
void config_init (struct relay *r);
void config_finish (struct relay *r);

/** config_note_state() - a member's state arrived and is noted in @m */
void config_note_state (struct relay *r, struct group_member *m,
			uint64_t now_ms);

/** config_member_down() - the link to @m ended */
void config_member_down (struct relay *r, struct group_member *m);

/** config_receive_whole() - take a text that a member of an older version sent
 * in one message */
void config_receive_whole (struct relay *r, struct group_member *m,
			   const struct gmsg_plan *g);

/** config_receive_chunk() - take a part of a text; its frame had @wire_bytes */
void config_receive_chunk (struct relay *r, struct group_member *m,
			   const struct plantext_chunk *c, uint32_t wire_bytes);

/** config_tick() - ask another member where nothing comes from the first */
void config_tick (struct relay *r, uint64_t now_ms);

#endif
