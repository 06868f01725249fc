"""Adapters between the users' platform and this package.

Header names, settings keys and row fields of the platform are decoded here
into types of this package; the other packages do not depend on them.
"""
