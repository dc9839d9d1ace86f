"""Flow placement by slot tables; two owners record each slot's flows."""
