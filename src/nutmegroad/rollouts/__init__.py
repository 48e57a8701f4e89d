"""New versions by stages, bad ones halted, engines told what to load."""
