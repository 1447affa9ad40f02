#ifndef CMD_CMD_H
#define CMD_CMD_H

/*
 * The subcommands. Each takes its own argument vector, argv[0] being its
 * name, and returns an exit code: 0, 1 runtime failure, 64 usage, 78 settings.
 */
int cmd_serve(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_admin(int argc, char **argv);
int cmd_timeline(int argc, char **argv);
int cmd_load(int argc, char **argv);
int cmd_standin(int argc, char **argv);

#endif
