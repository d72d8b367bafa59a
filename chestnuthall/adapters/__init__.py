"""The outside world: HTTP, gRPC, statsd, settings, documents and logs."""
