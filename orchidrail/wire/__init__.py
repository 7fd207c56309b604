"""Messages between processes, their encoding and transport."""
