"""Tests of carawaydoor."""
