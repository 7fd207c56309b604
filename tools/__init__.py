"""Development tools: process cells, generators and measurements."""
