"""What rooms ask of each other and of the platform: types and Protocols."""
