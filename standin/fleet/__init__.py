"""Stand-ins for the users' platform: its store, its servers and their clients, around real daemons on loopback."""
