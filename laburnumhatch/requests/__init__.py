"""The path of a request: admission, retries, forwarding."""
