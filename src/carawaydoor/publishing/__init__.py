"""Configuration objects, their checks, and the revisions in which they are published."""
