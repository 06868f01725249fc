"""Adapters to the platform's weight store."""

from dahliashunt.adapters.weights.http import HttpWeightStore

__all__ = ["HttpWeightStore"]
