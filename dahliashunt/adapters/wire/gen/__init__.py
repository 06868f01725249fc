"""Frames between processes."""
