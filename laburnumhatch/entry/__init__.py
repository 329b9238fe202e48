"""Entry daemon: process, life cycle and admin pages of an entry instance."""
