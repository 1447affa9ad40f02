#ifndef KERNEL_COUNTERS_H
#define KERNEL_COUNTERS_H

#include <stddef.h>
#include <stdint.h>

#define COUNTER_SHARDS 16

/* Every counter: id, exported name without its prefix, help text. */
#define COUNTER_TABLE(X)                                                      \
	X(REQUESTS, "requests_total", "requests received")                    \
	X(DONE, "requests_done_total", "requests answered done")              \
	X(NOT_RUN, "requests_not_run_total", "requests answered not run")     \
	X(UNKNOWN, "requests_unknown_total", "requests answered unknown")     \
	X(OVER_RATE, "requests_over_rate_total", "requests over a team rate") \
	X(READS_REPLICA, "reads_replica_total", "reads served by replicas")   \
	X(READS_PRIMARY, "reads_primary_total", "reads served by primaries")  \
	X(CONFIRM_WAIT_US, "confirm_wait_microseconds_total",                 \
	  "time writes waited for a second database")                         \
	X(CONFIRMS, "confirms_total", "writes confirmed by two databases")    \
	X(DB_CALLS, "database_calls_total", "calls to databases")             \
	X(PROBES, "database_probes_total", "status probes of databases")      \
	X(RETRIES, "retries_total", "statements tried again")                 \
	X(PROMOTIONS, "promotions_total", "promotions completed here")        \
	X(PLATFORM_CALLS, "platform_calls_total", "calls to the platform")    \
	X(PLATFORM_WATCHES, "platform_watches_total",                         \
	  "watches at the platform")                                          \
	X(PLATFORM_REPEATED, "platform_repeated_calls_total",                 \
	  "calls to the platform that followed an overdue one")               \
	X(STORE_RESTORED, "platform_restored_total",                          \
	  "new eras of the platform's store heard of")                        \
	X(ENTRIES_SKIPPED, "platform_entries_skipped_total",                  \
	  "entries of the platform that can't be used")                       \
	X(STORE_PAST, "platform_past_replies_total",                          \
	  "replies of an earlier era of the platform's store")                \
	X(EVACUATIONS_STARTED, "evacuations_started_total",                   \
	  "evacuations of failure domains learned of")                        \
	X(EVACUATIONS_ENDED, "evacuations_ended_total",                       \
	  "ends of evacuations learned of")                                   \
	X(PEER_SENT, "peer_messages_sent_total", "messages sent to peers")    \
	X(PEER_SENT_BYTES, "peer_sent_bytes_total", "bytes sent to peers")    \
	X(PEER_RECEIVED, "peer_messages_received_total",                      \
	  "messages received from peers")                                     \
	X(PEER_RECEIVED_BYTES, "peer_received_bytes_total",                   \
	  "bytes received from peers")                                        \
	X(PEER_BAD, "peer_messages_bad_total", "messages refused")            \
	X(CONFIG_APPLIED, "config_objects_applied_total",                     \
	  "configuration objects applied")                                    \
	X(ESCROW_ASKS, "escrow_asks_total", "transfers asked of peers")       \
	X(ESCROW_GIVES, "escrow_gives_total", "transfers given to peers")     \
	X(FORWARDS, "forwards_total", "requests forwarded to peers")          \
	X(LINKS_SECOND, "links_second_total",                                 \
	  "second connections opened to silent VMs")                          \
	X(STREAMS_RESUMED, "streams_resumed_total",                           \
	  "streams continued on a second connection")                         \
	X(STREAMS_NEVER_RECEIVED, "streams_never_received_total",             \
	  "statements sent again that a VM had not received")                 \
	X(STREAMS_UNKNOWN, "streams_unknown_total",                           \
	  "streams that a VM asked for and the other did not know")           \
	X(DB_CONNECTS, "database_connects_total",                             \
	  "connections opened to databases")                                  \
	X(EVACUATION_HELD, "evacuation_held_total",                           \
	  "statements that waited for a hand-over from an evacuated domain")  \
	X(EVACUATION_REFUSED, "evacuation_refused_total",                     \
	  "statements refused as their domain is evacuated")                  \
	X(EVACUATION_ABORTED, "evacuation_transactions_ended_total",          \
	  "transactions ended at databases of evacuated domains")             \
	X(LOG_DROPPED, "log_lines_dropped_total",                             \
	  "log lines left out to keep the volume bounded")

enum counter {
#define X(id, name, help) CTR_##id,
	COUNTER_TABLE(X)
#undef X
		CTR_COUNT
};

void counter_add(enum counter c, uint64_t n);
uint64_t counter_sum(enum counter c);
/* Writes all counters in the metrics text format; returns the length. */
size_t counters_print(char *buf, size_t size);

#endif
