"""Flow placement by slot tables, with two recording owners a slot."""
