"""Configuration: its objects, their checks, and the numbered revisions in which they are published."""
