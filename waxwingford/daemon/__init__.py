"""The daemon: assembly of its parts, life cycle, health and status."""

from waxwingford.daemon._life import Life
from waxwingford.daemon._logging import LineFormat, log_handler

__all__ = ('Life', 'LineFormat', 'log_handler')
