"""Checks of a configuration file before it is sent to the platform.

Pure: bytes in, findings and differences out. The rules are the decoders of
the nodes.
"""
