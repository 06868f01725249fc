"""Serve online and batch inference from one fleet."""
