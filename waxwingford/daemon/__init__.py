"""Daemon process: assembly of its components, lifecycle, health and status."""

from waxwingford.daemon._lifecycle import Lifecycle
from waxwingford.daemon._logging import LineFormatter, log_handler

__all__ = ('Lifecycle', 'LineFormatter', 'log_handler')
