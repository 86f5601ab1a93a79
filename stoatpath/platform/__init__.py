"""Names, formats and calls of the users' platform, without any routing decisions."""
