"""Plug-in registry, clocks, mailboxes and run-time invariants."""

from waxwingford.kernel._clock import Clock, ManualClock, SystemClock
from waxwingford.kernel._invariants import (
    Invariant,
    InvariantViolation,
    add_violation_listener,
    check_invariant,
)
from waxwingford.kernel._mailbox import Mailbox, MailboxFull, Posted
from waxwingford.kernel._registry import Registry, UnknownPlugin, load_plugins

__all__ = (
    'InvariantViolation',
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
    'add_violation_listener',
    'check_invariant',
)
