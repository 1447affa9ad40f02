#ifndef KERNEL_SETTINGS_H
#define KERNEL_SETTINGS_H

#include "decide/error.h"
#include "kernel/log.h"

#define SEED_PEERS_MAX 16
#define DOMAINS_MAX    64 /* failure domains whose region is known */

enum vm_form {
	FORM_ANY,
	FORM_HTTP,     /* statements as HTTP requests; own platform objects */
	FORM_SESSIONS, /* sessions on connections; the platform's registry */
};

/*
 * A VM's settings, from one JSON file that man/gypsumcleat.json.5 documents. A
 * plug-in that listens writes the bound address and port back into its
 * *_listen field before its start() returns.
 */
struct settings {
	enum vm_form form;		    /* "form": "http" or "sessions" */
	char vm[NAME_MAX_BYTES];	    /* "vm": this VM's name */
	char domain[NAME_MAX_BYTES];	    /* "domain": failure domain */
	char region[NAME_MAX_BYTES];	    /* "region" */
	char caller_listen[ADDR_MAX_BYTES]; /* "caller_listen": ip:port */
	char admin_listen[ADDR_MAX_BYTES];  /* "admin_listen" */
	char peer_listen[ADDR_MAX_BYTES];   /* "peer_listen" */
	char platform[ADDR_MAX_BYTES];	    /* "platform": ip:port of its API */
	char ready_listen[ADDR_MAX_BYTES];  /* "ready_listen": ip:port of
					       readiness probes */
	char metrics_listen[ADDR_MAX_BYTES]; /* "metrics_listen" */
	char promotion[ADDR_MAX_BYTES]; /* "promotion": ip:port of the service
					 * that promotes a database */
	char operator_key_hash[65]; /* "operator_key_hash": hex of BLAKE2b-256
				     */
	char peer_secret[65]; /* "peer_secret": 32 bytes in hex, or empty */
	struct {
		uint32_t n;
		char address[SEED_PEERS_MAX][ADDR_MAX_BYTES];
	} peers; /* "peers": VMs to contact while the platform is down */
	enum log_level log_level;     /* "log_level" */
	uint32_t shards;	      /* "shards" */
	uint32_t caller_threads;      /* "caller_threads" */
	uint32_t caller_connections;  /* "caller_connections" */
	uint32_t caller_idle_ms;      /* "caller_idle_ms" */
	uint32_t body_max_bytes;      /* "body_max_bytes" */
	uint32_t answer_max_bytes;    /* "answer_max_bytes" */
	uint32_t deadline_default_ms; /* "deadline_default_ms" */
	uint32_t deadline_max_ms;     /* "deadline_max_ms" */
	uint32_t transaction_max_ms;  /* "transaction_max_ms" */
	uint32_t queue_max;	      /* "queue_max": per database */
	uint32_t probe_ms;	      /* "probe_ms" */
	uint32_t reply_timeout_ms;    /* "reply_timeout_ms": of a database */
	uint32_t suspect_ms; /* "suspect_ms": timeout of a silent primary */
	uint32_t promote_stagger_ms;  /* "promote_stagger_ms": delay per rank */
	uint32_t replica_fresh_ms;    /* "replica_fresh_ms" */
	uint32_t platform_timeout_ms; /* "platform_timeout_ms" */
	uint32_t keys_fresh_ms;	      /* "keys_fresh_ms" */
	uint32_t gossip_ms;	      /* "gossip_ms" */
	uint32_t watchers_per_domain; /* "watchers_per_domain" */
	uint32_t escrow_wait_ms;      /* "escrow_wait_ms" */
	uint32_t drain_notice_ms;     /* "drain_notice_ms" */
	uint32_t drain_max_ms;	      /* "drain_max_ms" */
	uint32_t timeline_events;     /* "timeline_events" */
	uint32_t log_lines_per_s;     /* "log_lines_per_s": limit; 0: none */
	uint32_t grace_s;	      /* "grace_s": from SIGTERM to SIGKILL */
	uint32_t cpu_milli; /* "cpu_share": of a core, in thousandths */
	/* "evacuate_ms": within which no statement reaches an evacuated domain;
	 * 0: the platform has no evacuations */
	uint32_t evacuate_ms;
	/* "cold_overage": how much of its rate a cold database may get, in
	 * thousandths */
	uint32_t cold_overage_milli;
	struct {
		uint32_t n;
		struct {
			char domain[NAME_MAX_BYTES];
			char region[NAME_MAX_BYTES];
		} e[DOMAINS_MAX];
	} domains; /* "domains": the region of each failure domain */
};

/* Every failure found, one per line: "file: key: value: bound". */
struct settings_report {
	uint32_t n;
	char text[8192];
};

int settings_load(struct settings *s, const char *path,
		  struct settings_report *report, struct error *e);
int settings_parse(struct settings *s, const char *json, size_t len,
		   const char *file, struct settings_report *report);
/* Returns the region of a failure domain; NULL if it is not known. */
const char *settings_region(const struct settings *s, const char *domain);
/* Returns the name of key i; NULL after the last one. */
const char *settings_key(size_t i);

#endif
