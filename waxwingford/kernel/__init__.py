"""Plug-in registry, clocks, mailboxes and run-time invariants."""

from waxwingford.kernel._clock import Clock, ManualClock, SystemClock
from waxwingford.kernel._invariants import (
    BrokenInvariant,
    Invariant,
    on_broken,
    require,
)
from waxwingford.kernel._mailbox import Mailbox, MailboxFull, Posted
from waxwingford.kernel._registry import Registry, UnknownPlugin, load_plugins

__all__ = (
    'BrokenInvariant',
    'Clock',
    'Invariant',
    'Mailbox',
    'MailboxFull',
    'ManualClock',
    'Posted',
    'Registry',
    'SystemClock',
    'UnknownPlugin',
    'load_plugins',
    'on_broken',
    'require',
)
