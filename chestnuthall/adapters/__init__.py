"""Adapters: HTTP, gRPC, statsd, settings, documents and logs."""
