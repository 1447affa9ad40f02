/*
 * A small stand-in of the users' platform and databases, for the scripts under
 * review/. One process holds the store, the promotion call, one service of
 * databases, the callers, and starts and ends the VMs under test. Each
 * connection has a thread; all state is under one lock.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define DATABASES_MAX 8
#define VMS_MAX	      16

/* One database of the service. */
struct database {
	char id[32];
	char zone[32];
	int port;
	int listener;
	bool running;
	bool draining;
	bool primary;
	uint64_t term;
	uint64_t held; /* newest term of a PAUSE; 0: not paused */
	uint64_t sequence;
	uint32_t connections;
	int64_t drain_acked_at; /* ms; when the store took "draining" */
	int64_t killed_at;	/* generation: connections before it are dead */
};

/* A VM of the system under test: a separate process. */
struct vm {
	char name[32];
	char zone[32];
	pid_t pid; /* 0: not running */
	char callers[32];
	char probes[32];
	char log[300];
	int ports[4]; /* kept over restarts of the process; 0: not chosen */
	bool in_rotation;
	int misses;
};

/* A statement that arrived at a database. */
struct arrival {
	int64_t at; /* ms */
	int db;
	char team[32];
	char id[64];
	char text[160];
	bool in_tx; /* not the first of its transaction */
};

extern pthread_mutex_t lock;
extern struct database databases[DATABASES_MAX];
extern int n_databases;
extern struct vm vms[VMS_MAX];
extern int n_vms;
extern struct arrival *arrivals;
extern int n_arrivals;
extern FILE *record_file;
extern const char *service_name;
extern char store_address[64];

int64_t now_ms(void);
void sleep_ms(int ms);
/* Writes one line with the time to record.txt. */
void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* The same for something that happened at "at". */
void note_at(int64_t at, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Writes what arrived at the databases, in order. */
void note_arrivals(void);

/* Starts the store, and the databases, one in each zone; the first leads. */
void world_start(int n, const char *const *zones);
/* The operator writes the configuration; returns the time of the ack. */
int64_t write_config(uint64_t version, const char *key);
/* Another program writes an object to the store; spec is raw JSON. */
int64_t put_object(const char *kind, const char *name, const char *spec);
/* The database reports "draining"; returns the time of the store's ack. */
int64_t database_drains(int db);
/* The database crashes and does not come back; its entry lapses later. */
void database_crashes(int db);

/* Starts a VM as a process; false if it does not report its addresses. */
bool vm_start(int vm, const char *name, const char *zone);
void vm_signal(int vm, int sig);
/* Waits until the VM has ended; false after so long. */
bool vm_wait_end(int vm, int ms);
/* The platform's readiness probe: true if it was answered with 200. */
bool vm_probe(int vm);
bool vm_wait_ready(int vm, int ms);
void vms_kill_all(void);
/*
 * The platform's balancer: probes all VMs each second. After two misses a VM
 * gets no new connections until it answers with 200 again.
 */
void balancer_start(void);
/*
 * The VM for a new connection of a caller in this zone, or -1. If fewer than
 * half of a zone's VMs are in rotation, all of them are used; "attempt" counts
 * on to other VMs.
 */
int balancer_pick(const char *zone, unsigned int attempt);

/* A caller's connection. */
struct caller {
	int fd;
	char buf[65536];
	size_t len;
	char end[256];	/* COMPLETE or ERROR line; "CLOSED" */
	char row[1024]; /* last ROW */
	int rows;
	char state;
};

/* Connects and sends START; false if no READY came within "ms". */
bool caller_open(struct caller *c, const char *address, const char *db,
		 const char *key, int ms);
void caller_close(struct caller *c);
/* Sends bytes as they are. */
bool caller_send(struct caller *c, const void *data, size_t len);
/* Reads one reply up to READY; false if none came within "ms". */
bool caller_reply(struct caller *c, int ms);
/* Sends a statement and reads its reply. */
bool caller_query(struct caller *c, const char *id, const char *text, int ms);
/* True if the reply carries the MAC of a database for this id. */
bool caller_done(const struct caller *c, const char *id);

#endif
