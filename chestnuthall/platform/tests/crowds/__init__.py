"""Crowds of clients that break the rules of the protocol, against a real process."""
