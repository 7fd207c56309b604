"""Decoding of untrusted bytes."""

from __future__ import annotations

import msgspec

#: Exceptions that decoding untrusted bytes may raise.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
