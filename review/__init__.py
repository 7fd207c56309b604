"""Cases of an independent review, with their stand-ins."""
