"""A table of steps and faults over the programs' own code in virtual time."""
