#ifndef CHECK_CONFIG_H
#define CHECK_CONFIG_H

/*
 * The command "check-config FILE": lists all faults of a settings file, or of
 * a fleet document if the name ends in ".fleet.ini". argv[0] is the command.
 * Returns the exit code: 0 without faults, 2 with faults or on wrong usage.
 */
int check_config_main(int argc, char **argv);

#endif
