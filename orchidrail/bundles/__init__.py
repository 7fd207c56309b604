"""The versioned configuration bundle: schema, signatures and replay."""
