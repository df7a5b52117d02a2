"""Test doubles of the platform and backend servers; not imported by the product."""
