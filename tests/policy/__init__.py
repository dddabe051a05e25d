"""Tests of the decisions, without sockets or threads."""
