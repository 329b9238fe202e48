"""The users' platform: names, formats and calls. Nothing here decides."""
