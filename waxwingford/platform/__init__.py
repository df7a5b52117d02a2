"""Adapter to the users' platform: names, formats and requests.

Translates between the platform's wire format and the scheduler's types, one
request for each order. Importing this package registers the adapter.
"""

from waxwingford.platform._adapter import UsersPlatform

__all__ = ('UsersPlatform',)
