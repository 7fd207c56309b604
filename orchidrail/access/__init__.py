"""Access control: bearer keys by digest, and rate limits."""

from orchidrail.access.keys import (
    KeyRing,
    bearer_key,
    digest_of,
    make_bearer_key,
)
from orchidrail.access.rates import RateLimit

__all__ = (
    'KeyRing',
    'RateLimit',
    'bearer_key',
    'digest_of',
    'make_bearer_key',
)
