#ifndef CMD_CMD_H
#define CMD_CMD_H

/*
 * The subcommands. Each takes its own argument vector, with its name in
 * argv[0], and returns an exit code: 0, 1 for a runtime failure, 64 for a
 * usage error, 78 for refused settings; admin has more, see enum admin_exit.
 */
int cmd_serve(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_admin(int argc, char **argv);
int cmd_timeline(int argc, char **argv);
int cmd_load(int argc, char **argv);
int cmd_standin(int argc, char **argv);

#endif
