"""Stand-ins for the platform and the workers; not imported by orchidrail."""
