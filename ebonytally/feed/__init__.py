"""How entry VMs follow the configuration and the register."""
