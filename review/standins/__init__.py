"""Stand-ins for the platform, replicas and clients, used by the cases."""
