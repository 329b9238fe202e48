"""Decoding of documents that other parties have written."""

from .decode import decode_document

__all__ = ["decode_document"]
