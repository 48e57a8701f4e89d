"""A randomised run of the program that users run, from outside."""
