"""The platform's services as narrow ports, and their HTTP adapters."""
