"""Distribution of configuration and registry from control to entry VMs."""
