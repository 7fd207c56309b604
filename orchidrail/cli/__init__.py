"""The ``orchidrail`` command of operators and callers."""
