"""Advice: how many workers a step asks the advice service about."""

from orchidrail.advice.request_size import (
    RequestSize,
    size_request,
    workers_with_seats,
)

__all__ = ['RequestSize', 'size_request', 'workers_with_seats']
