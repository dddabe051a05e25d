"""Tests of the platform's path, against stand-ins that speak its protocol on loopback."""
