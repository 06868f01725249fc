"""Leases and fencing tokens in the platform's table service."""

from dahliashunt.membership.fence import Fence
from dahliashunt.membership.row_lease import RowLease

__all__ = ["Fence", "RowLease"]
