"""Bounded mailboxes between asyncio tasks; posting never blocks."""

import asyncio
from typing import Generic, TypeVar

import msgspec

Message = TypeVar('Message')


class Posted(msgspec.Struct, frozen=True):
    """The message was queued."""


class MailboxFull(msgspec.Struct, frozen=True):
    """The message was not queued, since the mailbox is full.

    :ivar capacity: maximum number of queued messages.
    """

    capacity: int


class Mailbox(Generic[Message]):
    """Queue of typed messages with a single consumer task."""

    def __init__(self, capacity: int) -> None:
        """Initialize an empty mailbox.

        :param capacity: maximum number of queued messages.
        """
        self._capacity = capacity
        self._queue: asyncio.Queue[Message] = asyncio.Queue(capacity)

    def post(self, message: Message) -> Posted | MailboxFull:
        """Queue a message without waiting."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            return MailboxFull(self._capacity)
        return Posted()

    async def take(self) -> Message:
        """Remove the oldest message, waiting if the mailbox is empty."""
        return await self._queue.get()

    def take_all(self) -> list[Message]:
        """Remove all queued messages without waiting.

        :returns: messages, oldest first; empty if there are none.
        """
        return [self._queue.get_nowait() for _ in range(self._queue.qsize())]

    def __len__(self) -> int:
        """Count the queued messages."""
        return self._queue.qsize()
