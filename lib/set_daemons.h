#ifndef DH_SET_DAEMONS_H
#define DH_SET_DAEMONS_H

#include "frame.h"
#include "set.h"

/*
 * The settings files of the programs.  The tables stand here, beside those of
 * the inventory, so that one command writes the whole reference page.
 */

#define SET_ADDR_BYTES 48
#define SET_NAME_BYTES 48
#define SET_FILE_BYTES 256

/** enum set_policy - choice of endpoint, in the order of its words */
enum set_policy {
	SET_POLICY_DEFAULT,
	SET_POLICY_RANDOM,
	SET_POLICY_ROUND_ROBIN,
	SET_POLICY_LEAST_IN_FLIGHT,
	SET_POLICY_TWO_CHOICES,
};

/** struct set_entryd - settings of an entry instance */
struct set_entryd {
	char name[SET_NAME_BYTES];
	char domain[SET_NAME_BYTES];
	char listen[SET_ADDR_BYTES];
	char peer[SET_ADDR_BYTES];
	char admin[SET_ADDR_BYTES];
	GPtrArray *control;
	char cluster_key_file[SET_FILE_BYTES];
	char admin_token_file[SET_FILE_BYTES];
	char tls_cert[SET_FILE_BYTES];
	char tls_key[SET_FILE_BYTES];
	char ports_file[SET_FILE_BYTES];
	uint32_t balancer_wait_ms;
	enum set_policy policy;
	bool engine_priority;
	uint32_t memory_mb;
	uint32_t max_fds;
};

/** set_entryd_rows - the table of struct set_entryd */
extern const struct set_row set_entryd_rows[];

/** struct set_controld - settings of a control member */
struct set_controld {
	char name[SET_NAME_BYTES];
	char domain[SET_NAME_BYTES];
	char peer[SET_ADDR_BYTES];
	char admin[SET_ADDR_BYTES];
	char data_dir[SET_FILE_BYTES];
	char cluster_key_file[SET_FILE_BYTES];
	char admin_token_file[SET_FILE_BYTES];
	char platform[SET_ADDR_BYTES];
	char ports_file[SET_FILE_BYTES];
	uint32_t memory_mb;
	uint32_t max_fds;
};

/** set_controld_rows - the table of struct set_controld */
extern const struct set_row set_controld_rows[];

/** struct set_groupd - settings of a group member that serves relays */
struct set_groupd {
	char name[SET_NAME_BYTES];
	char domain[SET_NAME_BYTES];
	char peer[SET_ADDR_BYTES];
	char peer_listen[SET_ADDR_BYTES];
	char api[SET_ADDR_BYTES];
	char metrics[SET_ADDR_BYTES];
	char data_dir[SET_FILE_BYTES];
	char cluster_key_file[SET_FILE_BYTES];
	GPtrArray *seeds;
	bool found;
	char platform[SET_ADDR_BYTES];
	double platform_calls_per_s;
	GPtrArray *duties;
	double usage_window_s;
	double usage_late_s;
	uint32_t lease_ms;
	uint32_t ack_ms;
	uint32_t disk_losses;
	uint32_t memory_mb;
	uint32_t max_fds;
	double exposure_share;
	double exposure_slack;
	uint32_t rollback_ms;
};

/** set_groupd_rows - the table of struct set_groupd */
extern const struct set_row set_groupd_rows[];

/** struct set_relayd - settings of a relay */
struct set_relayd {
	char name[SET_NAME_BYTES];
	char domain[SET_NAME_BYTES];
	char listen[SET_ADDR_BYTES];
	char ready[SET_ADDR_BYTES];
	char peer[SET_ADDR_BYTES];
	char metrics[SET_ADDR_BYTES];
	char cluster_key_file[SET_FILE_BYTES];
	GPtrArray *seeds;
	char platform[SET_ADDR_BYTES];
	double platform_calls_per_s;
	double grace_s;
	double retry_ratio;
	double retry_slack;
	double retry_window_s;
	double usage_window_s;
	bool learn_speed;
	bool share_room;
	bool pace;
	uint32_t memory_mb;
	uint32_t max_fds;
};

/** set_relayd_rows - the table of struct set_relayd */
extern const struct set_row set_relayd_rows[];

/** struct set_dhctl - settings of the operators' client */
struct set_dhctl {
	GPtrArray *control;
	GPtrArray *entries;
	char admin_token_file[SET_FILE_BYTES];
	char cluster_key_file[SET_FILE_BYTES];
};

/** set_dhctl_rows - the table of struct set_dhctl */
extern const struct set_row set_dhctl_rows[];

/**
 * set_secret_load() - read a file of hex digits, such as a cluster key
 * @path: the file; space at its end is passed over
 * @secret: filled in
 * @size: its length in bytes
 * @e: ERR_IO, or ERR_SETTINGS where the file does not hold 2 * @size digits
 */
bool set_secret_load (const char *path, uint8_t *secret, size_t size,
		      struct err *e);

/**
 * set_token_load() - read a file that holds one line, such as a token
 * @path: the file
 * @token: filled in without the line's end
 * @size: bytes that it holds
 * @e: ERR_IO, or ERR_SETTINGS where the line is empty, too long, or holds
 *	anything but visible characters
 */
bool set_token_load (const char *path, char *token, size_t size, struct err *e);

#endif
