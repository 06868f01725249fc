"""Adapters that implement the ports."""
