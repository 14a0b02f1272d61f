"""Stand-ins for the platform's services and for model engines.

They serve tests, benchmarks, the demo and local deployments.
"""
