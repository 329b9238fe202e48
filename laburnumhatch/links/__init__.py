"""Streams of msgpack frames between entry instances."""

from .interfaces import Links, MessageHandler

__all__ = ["Links", "MessageHandler"]
