"""Tests of the routing decisions, without sockets or threads."""
