"""Tests of the request path for the platform, against fakes that speak its protocol on loopback."""
