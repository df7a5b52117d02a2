"""Whole paths over real processes."""
