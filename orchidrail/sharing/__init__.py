"""Sharing of capacity between tenants."""

from __future__ import annotations

from orchidrail.sharing.standing import Standing, Standings

__all__ = ('Standing', 'Standings')
