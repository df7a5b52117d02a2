"""Adapter to the users' platform: names, formats and calls.

It decides nothing: each name on the wire is decoded once into the product's
types, and each of the product's orders becomes one call. Importing this
package registers the adapter.
"""

from waxwingford.platform._adapter import UsersPlatform

__all__ = ('UsersPlatform',)
