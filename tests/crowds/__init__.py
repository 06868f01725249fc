"""Crowds of clients that do not behave, against the system's processes."""
