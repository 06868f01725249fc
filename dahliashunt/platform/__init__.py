"""Translation between the users' platform and the product.

Wire names are decoded here once, into types of the product. Decisions,
state and recovery are elsewhere and know none of these names.
"""
