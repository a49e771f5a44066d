"""Stand-ins for the platform (its store, its servers and their clients) around real daemons on loopback."""
