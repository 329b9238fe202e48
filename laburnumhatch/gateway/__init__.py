"""The daemon that takes callers' requests and passes them on."""
