#ifndef CHECK_CONFIG_H
#define CHECK_CONFIG_H

/*
 * The command "check-config FILE": lists every fault of a settings file, or
 * of a fleet document if the name ends in ".fleet.ini". argv[0] is the
 * command. Exit code 0: no fault; 2: faults, or wrong usage.
 */
int check_config_main(int argc, char **argv);

#endif
